"""What planners and agents tell each other about expert maps."""

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
    """Ask an agent to stage a map on its engine."""

    group: str
    fence: int
    expert_map: ExpertMap


@dataclass(frozen=True, slots=True)
class AnnounceMap:
    """Announce to one incarnation that a staged map holds from a step on."""

    group: str
    incarnation: str
    fence: int
    version: int
    step: int


@dataclass(frozen=True, slots=True)
class ConfirmMap:
    """Tell one incarnation that all agents acknowledged an announcement."""

    group: str
    incarnation: str
    fence: int
    version: int


@dataclass(frozen=True, slots=True)
class MapAnswer:
    """Tell a planner whether the agent went along, and its engine's step."""

    accepted: bool
    step: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class VerdictRequest:
    """Ask an agent what it knows of a version that holds the asker up."""

    group: str
    version: int


class Verdict(StrEnum):
    """
    Tell what an agent knows of a version.

    ``REFUSED`` is a promise never to accept its confirmation.
    """

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class VerdictAnswer:
    """Answer a question about a version."""

    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Standing:
    """
    Tell which map an agent's engine is on, and what is to come.

    ``version`` is 0 while the engine has no map. ``scheduled`` is what it
    switches to at ``switch_step``, 0 for nothing; ``pending`` is a version
    for which it holds without a decision.
    """

    incarnation: str
    step: int
    version: int
    scheduled: int = 0
    switch_step: int = 0
    pending: int = 0
