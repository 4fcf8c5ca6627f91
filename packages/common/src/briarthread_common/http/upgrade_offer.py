"""Offers of another protocol in requests, which a server may ignore (RFC 9110, 7.8)."""

from collections.abc import Iterable

HeaderField = tuple[bytes, bytes]

CONNECTION = b"connection"
OFFERS = frozenset({b"upgrade", b"http2-settings"})
"""Fields of an offer, and their names in the field that lists those of one hop."""


def head_without_upgrade(
    method: bytes, target: bytes, version: str, fields: Iterable[HeaderField]
) -> bytes:
    r"""
    Return the head of a request as if it offered no other protocol.

    >>> head_without_upgrade(b"GET", b"/", "1.1", [(b"upgrade", b"h2c")])
    b'GET / HTTP/1.1\r\n\r\n'
    """
    lines = [b"%s %s HTTP/%s" % (method, target, version.encode())]
    lines += [b"%s: %s" % field for field in without_upgrade(fields)]
    return b"\r\n".join([*lines, b"", b""])


def without_upgrade(fields: Iterable[HeaderField]) -> list[HeaderField]:
    """
    Return header fields without the offer; names are lower case.

    >>> without_upgrade([(b"connection", b"keep-alive, Upgrade"), (b"upgrade", b"h2c")])
    [(b'connection', b'keep-alive')]
    """
    kept = []
    for name, value in fields:
        if name in OFFERS:
            continue
        if name == CONNECTION:
            options = [option.strip() for option in value.split(b",")]
            value = b", ".join(o for o in options if o.lower() not in OFFERS)
        kept.append((name, value))
    return kept
