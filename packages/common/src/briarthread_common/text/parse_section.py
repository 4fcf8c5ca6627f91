"""Parsing of a section of a services text."""

import configparser
from dataclasses import dataclass
from functools import lru_cache

from briarthread_common.conf.convert import is_name
from briarthread_common.conf.read_section import read_section
from briarthread_common.core.check_message import CheckMessage
from briarthread_common.text.account import Account
from briarthread_common.text.data_centre import DataCentre
from briarthread_common.text.group import Group
from briarthread_common.text.objective import Objective
from briarthread_common.text.section_specs import TEXT_SPECS, UNNAMED_SECTIONS
from briarthread_common.text.service import Service, TargetKind

CACHED_SECTIONS = 16384
"""Number of cached sections; unchanged sections are not parsed again."""

Parsed = Service | Account | Group | DataCentre | Objective


@dataclass(frozen=True, slots=True)
class ParsedSection:
    """Hold a section's value, or ``None`` if it is invalid, and its faults."""

    value: Parsed | None
    faults: tuple[CheckMessage, ...]


@lru_cache(maxsize=CACHED_SECTIONS)
def parse_section(header: str, raw: str) -> ParsedSection:
    """Return the typed value of a section and its faults."""
    kind, _, name = header.partition(" ")
    spec = TEXT_SPECS.get(kind)
    if spec is None:
        return _fault("text.E002", header, f"{kind!r} is not a kind of section")
    if kind in UNNAMED_SECTIONS:
        if name:
            return _fault("text.E003", header, "must not have a name")
    elif not is_name(name):
        return _fault(
            "text.E004", header, f"{name!r} is not a valid name", "Use a-z, 0-9, - ."
        )
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(raw)
    except configparser.Error as error:
        return _fault("text.E005", header, f"cannot be read: {error}")
    section = parser[parser.sections()[0]]
    values, faults = read_section(spec, header, section)
    if faults:
        return ParsedSection(None, tuple(faults))
    return ParsedSection(_build(kind, name, values), ())


def _build(kind: str, name: str, values: dict[str, object]) -> Parsed:
    match kind:
        case "service":
            values["kind"] = TargetKind(values["kind"])
            return Service(name=name, **values)
        case "account":
            return Account(name=name, **values)
        case "group":
            return Group(name=name, **values)
        case "data_centre":
            return DataCentre(name=name, **values)
        case _:
            return Objective(**values)


def _fault(fault_id: str, header: str, text: str, hint: str = "") -> ParsedSection:
    message = CheckMessage(fault_id, f"[{header}]", text, hint)
    return ParsedSection(None, (message,))
