"""What a planner and the agents of a group say to each other."""

from dataclasses import dataclass, field

import msgspec

from briarthread_common.direct.rank_client import Layers
from briarthread_common.direct.rank_state import RankState

QUERY_PATH = "/peer/v1/rank/query"
STAGE_PATH = "/peer/v1/rank/stage"
ACCEPT_PATH = "/peer/v1/rank/accept"
WITHDRAW_PATH = "/peer/v1/rank/withdraw"
ARM_PATH = "/peer/v1/rank/arm"
GO_PATH = "/peer/v1/rank/go"
REVOKE_PATH = "/peer/v1/rank/revoke"
RELAY_PATH = "/peer/v1/rank/relay"
RELAYED_PATHS = (QUERY_PATH, STAGE_PATH, ARM_PATH, REVOKE_PATH)
"""The calls that go to all ranks of a group, which an agent passes on."""
MAX_RANK_BODY_BYTES = 4 * 1024 * 1024
"""Largest message to an agent; a whole map of 129 ranks takes some 30 KB."""
NO_FENCE = 0
"""The number of a question that is no planner's."""
ANY_GROUP = ""
"""The name of no group: a message with it is for whatever group a rank is in."""
MAX_PLANNER_SILENCE_SECONDS = 3600.0
"""Seconds that are said of a planner that was never heard, or not for longer;
JSON has no infinity."""


@dataclass(frozen=True, slots=True)
class RankQuery:
    """
    Ask an agent for its rank's state.

    A planner states its group and its fencing number; from then on the agent
    obeys no planner of that group with a lower one. An agent whose rank is in
    another group only gives the rank's state. ``slow`` is what the planner knows
    of slow ranks, see GroupReport, ``None`` where it says nothing of them.
    """

    fence: int = NO_FENCE
    with_counts: bool = False
    with_experts: bool = False
    slow: dict[str, float] | None = None
    group: str = ANY_GROUP


@dataclass(frozen=True, slots=True)
class RankAnswer:
    """
    Give a rank's state; ``accepted`` is off for an outdated planner.

    ``counts`` tells how often each expert was chosen of late, set by set, in
    units of ``count_unit`` choices;
    ``experts`` which the rank holds, by set; ``planner_silence`` for how many
    seconds the agent has heard no planner of the rank's group;
    ``newest_version`` is the highest version of a map that it was ever sent.
    """

    accepted: bool
    state: RankState | None = None
    counts: list[int] = field(default_factory=list)
    experts: list[list[int]] = field(default_factory=list)
    planner_silence: float = MAX_PLANNER_SILENCE_SECONDS
    count_unit: float = 1.0
    newest_version: int = 0


@dataclass(frozen=True, slots=True)
class RoundRobinMap:
    """Describe a map that deals the experts of each set out to ranks in turn."""

    sets: int
    experts: int
    ranks: int


class RankExperts(msgspec.Struct, frozen=True, array_like=True):
    """
    The experts that one rank holds of the set with a number.

    A change of a large group's map has hundreds of these and goes to every
    rank, so they are written as arrays, in a third of the bytes.
    """

    number: int
    rank: int
    experts: list[int]


@dataclass(frozen=True, slots=True)
class StageRequest:
    """
    Have a rank load what it lacks for a map.

    The map is that of version ``base`` with some differences, or where the
    agent lacks that one, the whole of ``layers``: a whole map of a large group
    would fill the link of the planner's instance. ``dealt`` tells how many
    experts a set has where the base deals them out to the ranks in turn, so
    that everyone can work it out.
    """

    fence: int
    epoch: int
    version: int
    base: int
    differences: list[RankExperts] = field(default_factory=list)
    layers: Layers = field(default_factory=list)
    dealt: RoundRobinMap | None = None
    group: str = ANY_GROUP


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """
    Have an agent stand by the pass that its rank was ordered to hold.

    Until it has said yes it may let the pass go; once it has, it does so only
    when all ranks are armed, or when all but the planner's have promised not to be,
    see RevokeRequest. ``planner`` is where the planner's agent is called, empty
    where the planner may order engines itself, so that nobody can tell what it
    has ordered.
    """

    fence: int
    epoch: int
    step: int
    group: str = ANY_GROUP
    planner: str = ""


@dataclass(frozen=True, slots=True)
class WithdrawRequest:
    """
    Have an agent never stand by a pass that its rank was ordered to hold.

    It says no where it has promised that already.
    """

    fence: int
    epoch: int
    step: int
    group: str = ANY_GROUP


@dataclass(frozen=True, slots=True)
class RevokeRequest:
    """
    Have an agent never arm its rank for a pass because a planner asks for it.

    It says no where it has begun to, or cannot know whether it has.
    """

    epoch: int
    step: int
    group: str = ANY_GROUP


@dataclass(frozen=True, slots=True)
class ArmRequest:
    """
    Have a rank switch to a loaded map as a pass begins.

    ``finishes`` marks one who brings a change to its end that others began: some
    rank is armed for it, or the pass is promised and is not going to be taken back.
    """

    fence: int
    epoch: int
    version: int
    step: int
    group: str = ANY_GROUP
    finishes: bool = False


@dataclass(frozen=True, slots=True)
class GoRequest:
    """Have a rank let the group begin a pass that it holds."""

    epoch: int
    step: int
    group: str = ANY_GROUP


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """
    Tell whether the engine took an order, and the rank's state after it.

    ``lacks_base`` asks for the whole map instead of its differences.
    """

    taken: bool
    state: RankState | None = None
    lacks_base: bool = False


@dataclass(frozen=True, slots=True)
class RelayedMessage:
    """One message, and the addresses of the agents that it is for."""

    addresses: list[str]
    message: msgspec.Raw


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """
    Have an agent call others with a message each and join their answers.

    ``seconds`` is how long it may wait for them.
    """

    path: str
    messages: list[RelayedMessage]
    seconds: float


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """The answers that came, by the address of the agent that gave them."""

    answers: dict[str, msgspec.Raw]
