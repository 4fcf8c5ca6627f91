"""One option of a section."""

from dataclasses import dataclass

from briarthread_common.conf.option_kind import OptionKind


@dataclass(frozen=True, slots=True)
class Option:
    """
    Describe one option; ``default`` is as written, ``None`` if required.

    ``minimum`` bounds numbers; ``choices`` bounds texts.
    """

    key: str
    kind: OptionKind
    default: str | None
    help: str
    minimum: float | None = None
    choices: tuple[str, ...] = ()
