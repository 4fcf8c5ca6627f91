"""Report of an agent to the entries on its rank's group."""

from dataclasses import dataclass, field

GROUP_PATH = "/peer/v1/group"
"""Path at which an agent streams its reports."""


@dataclass(frozen=True, slots=True)
class GroupReport:
    """
    State of a lock-step group, as far as one agent knows it.

    ``group`` is the group of the agent's own rank, empty while it is unknown.
    ``serving`` is that rank's report, ``None`` if there is none. ``slow`` maps
    the host of each rank that takes clearly longer than usual for its work to the
    factor by which it is slower.
    """

    serving: bool | None = None
    slow: dict[str, float] = field(default_factory=dict)
    group: str = ""
