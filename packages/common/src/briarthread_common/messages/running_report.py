"""What an entry tells the others of the attempts that it has running."""

from dataclasses import dataclass, field

RUNNING_PATH = "/peer/v1/running"
"""Where an entry sends its reports."""


@dataclass(frozen=True, slots=True)
class RunningReport:
    """
    Count the attempts running from one entry at each target, by its name.

    Targets without any are left out. ``each`` gives, for each service, the
    seconds that a running request adds to its group's passes, as the entry's
    own streams show it.
    """

    running: dict[str, int] = field(default_factory=dict)
    each: dict[str, float] = field(default_factory=dict)
