"""Orders to a model engine about its expert map."""

from dataclasses import dataclass
from enum import StrEnum

from briarthread_common.messages.expert_map import ExpertMap

ORDER_PATH = "/engine/v1/orders"
STATE_PATH = "/engine/v1/state"


class OrderKind(StrEnum):
    """
    Name what an engine is told to do.

    ``FENCE`` only raises the engine's token. ``STAGE`` loads the weights of
    a map beside the present one. ``HOLD`` makes the engine stop before a
    step unless a decision has come. ``SWITCH`` decides for the new map from
    that step on, ``RESUME`` for the old one. ``LOAD`` gives an engine that
    has just started its map, and the one it switches to if that is decided.
    """

    FENCE = "fence"
    STAGE = "stage"
    HOLD = "hold"
    SWITCH = "switch"
    RESUME = "resume"
    LOAD = "load"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """
    Give an engine one order.

    ``epoch`` is the agent's start in milliseconds and ``fence`` the planner's
    number; an engine that checks refuses a pair (epoch, fence) lower than one
    it has seen. The epoch comes first, because a new agent does not know the
    planners that its predecessor has seen. ``step`` is where a hold begins, or
    the switch to ``scheduled`` of an engine that loads its map.
    """

    kind: OrderKind
    fence: int
    epoch: int
    version: int = 0
    step: int = 0
    scheduled: int = 0
    expert_map: ExpertMap | None = None


@dataclass(frozen=True, slots=True)
class EngineState:
    """
    Describe an engine as it stands.

    ``step`` is the next step to run. ``hold_for`` is the version for which
    it holds at ``hold_step``, 0 for none; ``held`` says that it has got
    there. ``scheduled`` is the version that it was told to switch to.
    """

    step: int
    version: int
    staged: int = 0
    hold_for: int = 0
    hold_step: int = 0
    held: bool = False
    scheduled: int = 0


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Tell whether an order was accepted, and how the engine stands now."""

    accepted: bool
    state: EngineState
    reason: str = ""
