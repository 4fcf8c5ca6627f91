"""Specification of an option."""

from dataclasses import dataclass

from briarthread_common.conf.option_kind import OptionKind


@dataclass(frozen=True, slots=True)
class Option:
    """
    Describe an option of a section.

    ``default`` is the raw text of the default, ``None`` if the option is required.
    ``minimum`` is the lower bound of a number; ``choices`` are the allowed texts.
    """

    key: str
    kind: OptionKind
    default: str | None
    help: str
    minimum: float | None = None
    choices: tuple[str, ...] = ()
