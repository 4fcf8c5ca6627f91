"""Digest by which a repeated request is recognised."""

import hashlib
from collections.abc import Sequence

DIGEST_BYTES = 16


def request_digest(
    account: str,
    method: str,
    path: str,
    body: bytes | None,
    segments: Sequence[str] = (),
) -> str:
    """
    Return a hex digest that is the same for identical requests of one account.

    ``path`` includes the query, ``segments`` are the keys of the shared segments of a
    prompt; the last one may differ between repeats of a request. The digest is keyed
    with the account, so that no account can construct a request that is taken for
    another account's. The body cannot be recovered from the digest.

    >>> request_digest("a", "GET", "/x", None) == request_digest("b", "GET", "/x", None)
    False
    """
    key = hashlib.blake2b(account.encode(), digest_size=DIGEST_BYTES).digest()
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    parts = (method, path, *segments)
    for part in (text.encode("latin-1", "replace") for text in parts):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(body or b"")
    return digest.hexdigest()
