"""Orders to a model engine that concern its expert map."""

from dataclasses import dataclass
from enum import StrEnum

from briarthread_common.messages.expert_map import ExpertMap

ORDER_PATH = "/engine/v1/orders"
STATE_PATH = "/engine/v1/state"


class OrderKind(StrEnum):
    """
    Kind of an order to an engine.

    ``FENCE`` only raises the engine's fencing token. ``STAGE`` loads the weights
    of a map next to the active one. ``HOLD`` makes the engine stop before a
    step unless a decision has arrived by then. ``SWITCH`` activates the new map from
    that step on, ``RESUME`` keeps the old one. ``LOAD`` sends an engine that
    has just started its map and, if a switch is decided, the map it switches to.
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
    Order from an agent to its engine.

    ``epoch`` is the agent's start time in milliseconds and ``fence`` the planner's
    fencing token; an engine that checks them refuses a pair (epoch, fence) lower
    than one it has seen. The epoch is compared first, because a new agent does not
    know the planners of its predecessor. ``step`` is the step before which to hold,
    or in a ``LOAD`` order the step at which to switch to ``scheduled``.
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
    State of an engine.

    ``step`` is the next step to run. ``hold_for`` is the version for which
    it holds at ``hold_step``, 0 for none; ``held`` is true once it has reached
    that step. ``scheduled`` is the version that it was ordered to switch to.
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
    """Answer to an order: whether it was accepted, and the engine's state after it."""

    accepted: bool
    state: EngineState
    reason: str = ""
