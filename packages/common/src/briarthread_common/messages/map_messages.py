"""Messages between planners and agents about expert maps."""

from dataclasses import dataclass
from enum import StrEnum

from briarthread_common.messages.expert_map import ExpertMap

STAGE_PATH = "/agent/v1/maps/stage"
ANNOUNCE_PATH = "/agent/v1/maps/announce"
CONFIRM_PATH = "/agent/v1/maps/confirm"
VERDICT_PATH = "/agent/v1/maps/verdict"
STANDING_PATH = "/agent/v1/maps/standing"


@dataclass(frozen=True, slots=True)
class StageMap:
    """Request that an agent stage a map on its engine."""

    group: str
    fence: int
    expert_map: ExpertMap


@dataclass(frozen=True, slots=True)
class AnnounceMap:
    """Announce to one incarnation that a staged map becomes active at a step."""

    group: str
    incarnation: str
    fence: int
    version: int
    step: int


@dataclass(frozen=True, slots=True)
class ConfirmMap:
    """Confirm to one incarnation that all agents acknowledged an announcement."""

    group: str
    incarnation: str
    fence: int
    version: int


@dataclass(frozen=True, slots=True)
class MapAnswer:
    """Answer to a planner: whether the agent accepted, and its engine's step."""

    accepted: bool
    step: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class VerdictRequest:
    """Ask an agent what it knows of a version whose decision the sender awaits."""

    group: str
    version: int


class Verdict(StrEnum):
    """
    What an agent knows of a version.

    ``REFUSED`` is a promise never to accept the version's confirmation.
    """

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class VerdictAnswer:
    """Answer to a VerdictRequest."""

    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Standing:
    """
    Active, scheduled and pending map of an agent's engine.

    ``version`` is 0 while the engine has no map. ``scheduled`` is the version to
    which it switches at ``switch_step``, 0 for none; ``pending`` is a version
    for which it holds without a decision.
    """

    incarnation: str
    step: int
    version: int
    scheduled: int = 0
    switch_step: int = 0
    pending: int = 0
