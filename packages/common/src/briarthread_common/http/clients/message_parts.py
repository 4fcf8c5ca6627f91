"""Parts in which received bytes are given to the parser of requests."""

import re

LINE_END = re.compile(rb"\r?\n")
EMPTY_LINE = re.compile(rb"\n\r?\n")


def end_of_part(data: bytes, begin: int, body_left: int | None) -> int:
    r"""
    Return where the part that starts at ``begin`` ends.

    A head, and a body in chunks, end with an empty line, and a body of known length
    after ``body_left`` bytes. A part goes to such an end at most, so that no parser
    gets bytes of a message together with the end of the one before.

    >>> data = b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n"
    >>> end_of_part(data, 0, None), end_of_part(data, 27, None)
    (27, 43)
    >>> end_of_part(b"abcdGET", 0, body_left=4)
    4
    """
    if body_left:
        return min(begin + body_left, len(data))
    end = LINE_END.match(data, begin) or EMPTY_LINE.search(data, begin)
    return len(data) if end is None else end.end()
