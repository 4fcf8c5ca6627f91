"""Reading of a settings file."""

import configparser
from collections.abc import Sequence
from pathlib import Path

from briarthread_common.conf.read_section import read_section
from briarthread_common.conf.section_spec import SectionSpec
from briarthread_common.core.check_message import CheckMessage
from briarthread_common.core.exceptions import ChecksFailed


def read_settings(
    path: Path, specs: Sequence[SectionSpec]
) -> dict[str, dict[str, object]]:
    """
    Return the values of all sections, including defaults.

    Raise ChecksFailed with all faults if the file cannot be read or is invalid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        fault = CheckMessage("conf.E004", str(path), f"cannot be read: {error}")
        raise ChecksFailed([fault]) from error
    return collect_sections(parser, specs)


def collect_sections(
    parser: configparser.ConfigParser, specs: Sequence[SectionSpec]
) -> dict[str, dict[str, object]]:
    """Return the values of the parsed sections; raise ChecksFailed on faults."""
    values: dict[str, dict[str, object]] = {}
    faults: list[CheckMessage] = []
    for spec in specs:
        raw = parser[spec.name] if parser.has_section(spec.name) else {}
        values[spec.name], section_faults = read_section(spec, spec.name, raw)
        faults.extend(section_faults)
    known = {spec.name for spec in specs}
    faults.extend(
        CheckMessage("conf.E005", f"[{name}]", "is not a section of this file")
        for name in parser.sections()
        if name not in known
    )
    if faults:
        raise ChecksFailed(faults)
    return values
