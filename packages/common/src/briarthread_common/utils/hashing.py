"""Hashes that are the same in every process, and random ids."""

import hashlib
import random
from collections.abc import Iterable

HASH_BYTES = 8
ID_BITS = 64


def stable_hash(*parts: str) -> int:
    """
    Return a 64-bit hash of the parts that is the same in every process.

    >>> stable_hash("a", "bc") == stable_hash("ab", "c")
    False
    """
    joined = "\x1f".join(parts).encode()
    digest = hashlib.blake2b(joined, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """
    Return the names sorted by their rendezvous hash with the key.

    Every process that knows the same names gets the same order, and removing
    a name doesn't change the order of the others.

    >>> order = rendezvous_order("key", ["a", "b", "c"])
    >>> rest = [name for name in order if name != "b"]
    >>> rest == rendezvous_order("key", ["c", "a"])
    True
    """
    return sorted(names, key=lambda name: (stable_hash(key, name), name))


def random_id(rng: random.Random) -> str:
    """Return a random 64-bit identifier in hex."""
    return f"{rng.getrandbits(ID_BITS):0{ID_BITS // 4}x}"


def key_digest(secret: str) -> str:
    """Return a key's SHA-256 digest in hex, as stored in the services text."""
    return hashlib.sha256(secret.encode()).hexdigest()
