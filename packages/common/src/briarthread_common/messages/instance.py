"""Instance in the platform's instance list."""

from dataclasses import dataclass
from enum import StrEnum


class InstanceRole(StrEnum):
    """Role of an instance."""

    ENTRY = "entry"
    TARGET = "target"


class InstanceState(StrEnum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """
    Instance as the platform lists it, with a delay of some seconds.

    ``address`` is where the entry or agent on it listens; ``service`` is the
    service of a target, and ``group`` the lock-step group of which it is a rank,
    empty if it has none or while it is unknown. ``settled`` is true once an entry has
    been listed for so long that all others know it.
    """

    name: str
    data_centre: str
    address: str
    role: InstanceRole
    service: str = ""
    state: InstanceState = InstanceState.LIVE
    group: str = ""
    settled: bool = False
