"""Reading of a section according to its specification."""

from collections.abc import Mapping

from briarthread_common.conf.convert import convert
from briarthread_common.conf.option import Option
from briarthread_common.conf.section_spec import SectionSpec
from briarthread_common.core.check_message import CheckMessage


def read_section(
    spec: SectionSpec, place: str, raw: Mapping[str, str]
) -> tuple[dict[str, object], list[CheckMessage]]:
    """
    Return the values of a section and all its faults.

    ``place`` is the section's header as written in the file.
    """
    values: dict[str, object] = {}
    faults: list[CheckMessage] = []
    for option in spec.options:
        text = raw.get(option.key, option.default)
        if text is None:
            faults.append(_missing(place, option))
            continue
        try:
            values[option.key] = convert(option, text.strip())
        except ValueError as error:
            faults.append(_invalid(place, option, text, error))
    known = {option.key for option in spec.options}
    faults.extend(_unknown(place, key, known) for key in raw if key not in known)
    return values, faults


def _missing(place: str, option: Option) -> CheckMessage:
    return CheckMessage(
        "conf.E001",
        f"[{place}] {option.key}",
        f"is missing, expected {option.kind}",
        option.help,
    )


def _invalid(place: str, option: Option, text: str, error: ValueError) -> CheckMessage:
    return CheckMessage(
        "conf.E002",
        f"[{place}] {option.key}",
        f"is {text!r}, expected {option.kind}: {error}",
        option.help,
    )


def _unknown(place: str, key: str, known: set[str]) -> CheckMessage:
    return CheckMessage(
        "conf.E003",
        f"[{place}] {key}",
        "is not an option of this section",
        f"Known options: {', '.join(sorted(known))}.",
    )
