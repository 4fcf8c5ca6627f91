"""What an entry tells the others of the attempts that it has running."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RunningReport:
    """
    Count the attempts running from one entry at each target, by its name.

    Targets without any are left out. ``passes`` gives, for each service, the
    length in seconds of its group's passes as the entry's own streams show
    them.
    """

    running: dict[str, int] = field(default_factory=dict)
    passes: dict[str, float] = field(default_factory=dict)
