"""
Decoding of JSON and numbers that other programs have written.

Whatever the bytes are, decoding them raises nothing but DecodeError: a task that reads
them must not end, and end again at each start of its process, because of one text.
"""

import math
import re
from typing import Annotated, TypeVar

import msgspec

from briarthread_common.core.exceptions import DecodeError

T = TypeVar("T")

MAX_NESTING = 64
"""Arrays and objects within each other that a row may have. The rows that are used have
a handful; the interpreter's own bound depends on its stack."""
MAX_DIGITS = 18
"""Digits that a whole number may have, so that it fits into 64 bits."""
MAX_WHOLE_NUMBER = 10**MAX_DIGITS - 1
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
"""Whole number from zero on in JSON, in a range that allows any calculation."""
Integer = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
"""Whole number of either sign in JSON."""
MAX_NUMBER = float(MAX_WHOLE_NUMBER)
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""Number of either sign in JSON."""
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""Number from zero on in JSON, such as a time."""
WHOLE_NUMBER = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}")
JSON_STRING = re.compile(rb'"(?>[^"\\]+|\\.)*+"?', re.DOTALL)
"""A string in JSON; one that is not closed extends to the end."""
AS_ARRAYS = bytes.maketrans(b"{}", b"[]")
NO_BRACKETS = bytes(byte for byte in range(256) if byte not in b"[]{}")


def decode_json(raw: bytes | str | msgspec.Raw, message_type: type[T]) -> T:
    """
    Return JSON decoded into a type, or raise DecodeError.

    >>> decode_json('{"a": 1}', dict[str, int])
    {'a': 1}
    >>> decode_json("[" * 100_000, list)
    Traceback (most recent call last):
        ...
    briarthread_common.core.exceptions.DecodeError: nested too deeply
    """
    try:
        return msgspec.json.decode(raw, type=message_type)
    except RecursionError as error:
        raise DecodeError("nested too deeply") from error
    except (msgspec.MsgspecError, ValueError) as error:
        raise DecodeError(str(error)) from error


def decode_row(raw: str, row_type: type[T]) -> T:
    """
    Return a row of a table decoded into a type, or raise DecodeError.

    Unlike a message, which concerns its receiver only, a row is read by many processes.
    All of them accept it or none.

    >>> decode_row("[" * 64 + "]" * 64, list) == decode_row("[" * 65 + "]" * 65, list)
    Traceback (most recent call last):
        ...
    briarthread_common.core.exceptions.DecodeError: nested more than 64 deep
    """
    if _is_nested_too_deeply(raw.encode(errors="replace")):
        raise DecodeError(f"nested more than {MAX_NESTING} deep")
    return decode_json(raw, row_type)


def read_whole_number(text: str) -> int | None:
    """
    Return the whole number that a text states, ``None`` if it states none.

    >>> read_whole_number("1460"), read_whole_number("-1"), read_whole_number("9" * 99)
    (1460, None, None)
    """
    return int(text) if WHOLE_NUMBER.fullmatch(text) else None


def read_amount(text: str) -> float:
    """
    Return the number from zero on that a text states, or raise DecodeError.

    >>> read_amount("2.5")
    2.5
    >>> read_amount("nan")
    Traceback (most recent call last):
        ...
    briarthread_common.core.exceptions.DecodeError: 'nan' is not a number from zero on
    """
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0 <= number < math.inf:
        raise DecodeError(f"{text[:40]!r} is not a number from zero on")
    return number


def _is_nested_too_deeply(raw: bytes) -> bool:
    if raw.count(b"[") + raw.count(b"{") <= MAX_NESTING:
        return False
    brackets = JSON_STRING.sub(b"", raw).translate(AS_ARRAYS, NO_BRACKETS)
    for _ in range(MAX_NESTING):
        brackets = brackets.replace(b"[]", b"")
    return bool(brackets)
