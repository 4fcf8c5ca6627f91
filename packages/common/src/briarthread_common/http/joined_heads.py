"""Recognition of two heads of responses that were read as one."""

import re
from collections.abc import Iterable

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def has_joined_heads(reason: bytes, fields: Iterable[tuple[bytes, bytes]]) -> bool:
    """
    Return whether the head of a response has another one's status line in it.

    If a part of a response lies before the next one, the parser takes both heads for
    one, with the status of the first, unless the first ends with a line or within the
    name of a field. The status line of the second is then the end of a line.

    >>> has_joined_heads(b"OK", [(b"Server", b"abc")])
    False
    >>> has_joined_heads(b"OK", [(b"Server", b"aHTTP/1.1 500 Failed")])
    True
    """
    return STATUS_LINE.search(reason) is not None or any(
        STATUS_LINE.search(value) for _, value in fields
    )
