"""Conversion of an option's raw text to its value."""

import re

from briarthread_common.conf.option import Option
from briarthread_common.conf.option_kind import OptionKind
from briarthread_common.utils.host_of import is_address

DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
FLAGS = {
    "yes": True,
    "true": True,
    "on": True,
    "no": False,
    "false": False,
    "off": False,
}


def convert(option: Option, raw: str) -> object:
    """
    Return the value of an option; raise ValueError if it is invalid.

    >>> convert(Option("wait", OptionKind.SECONDS, None, ""), "1.5")
    1.5
    """
    match option.kind:
        case OptionKind.TEXT:
            value: object = raw
        case OptionKind.INTEGER:
            value = int(raw)
        case OptionKind.NUMBER | OptionKind.SECONDS:
            value = float(raw)
        case OptionKind.OPTIONAL_NUMBER:
            value = float(raw) if raw else 0.0
        case OptionKind.FLAG:
            value = FLAGS[raw.lower()] if raw.lower() in FLAGS else _fail(raw)
        case OptionKind.NAMES:
            value = tuple(_name(part) for part in _parts(raw))
        case OptionKind.ADDRESS:
            value = _address(raw)
        case OptionKind.ADDRESSES:
            value = tuple(_address(part) for part in _parts(raw))
        case OptionKind.DIGESTS:
            value = tuple(_digest(part) for part in _parts(raw))
    _check_bounds(option, value)
    return value


def is_name(raw: str) -> bool:
    """Return whether a text is a valid service, account or instance name."""
    return NAME_PATTERN.fullmatch(raw) is not None


def _check_bounds(option: Option, value: object) -> None:
    if option.kind is OptionKind.SECONDS and not 0 < value < float("inf"):
        _fail(str(value))
    if option.minimum is not None and not option.minimum <= value < float("inf"):
        raise ValueError(f"must be at least {option.minimum:g}")
    if option.choices and value not in option.choices:
        raise ValueError(f"must be one of {', '.join(option.choices)}")


def _parts(raw: str) -> list[str]:
    return [part.strip() for part in raw.split(",") if part.strip()]


def _name(raw: str) -> str:
    return raw if is_name(raw) else _fail(raw)


def _digest(raw: str) -> str:
    return raw if DIGEST_PATTERN.fullmatch(raw) else _fail(raw)


def _address(raw: str) -> str:
    return raw if is_address(raw) else _fail(raw)


def _fail(raw: str) -> str:
    raise ValueError(f"{raw!r} is not valid")
