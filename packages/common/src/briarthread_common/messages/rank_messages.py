"""Messages between a planner and the agents of its group."""

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
"""Calls that go to all ranks of a group and that an agent may relay."""
MAX_RANK_BODY_BYTES = 4 * 1024 * 1024
"""Largest message to an agent; a complete map of 129 ranks takes about 30 KB."""
NO_FENCE = 0
"""Fencing token of a query that doesn't come from a planner."""
ANY_GROUP = ""
"""Empty group name; a message with it applies to whichever group the rank is in."""
MAX_PLANNER_SILENCE_SECONDS = 3600.0
"""Upper limit of a reported planner silence, also reported if no planner was ever
seen; JSON has no infinity."""


@dataclass(frozen=True, slots=True)
class RankQuery:
    """
    Ask an agent for its rank's state.

    A planner states its group and its fencing token; from then on the agent
    obeys no planner of that group with a lower one. An agent whose rank is in
    another group only returns the rank's state. ``slow`` is what the planner knows
    of slow ranks, see GroupReport, ``None`` if it reports nothing on them.
    """

    fence: int = NO_FENCE
    with_counts: bool = False
    with_experts: bool = False
    slow: dict[str, float] | None = None
    group: str = ANY_GROUP


@dataclass(frozen=True, slots=True)
class RankAnswer:
    """
    State of a rank; ``accepted`` is false for an outdated planner.

    ``counts`` is how often each expert was recently chosen, set by set, in
    units of ``count_unit`` choices;
    ``experts`` lists those that the rank holds, by set; ``planner_silence`` is how
    many seconds ago the agent last received a call of a planner of the rank's group;
    ``newest_version`` is the highest map version that it was ever sent.
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
    """Map that assigns the experts of each set to the ranks round-robin."""

    sets: int
    experts: int
    ranks: int


class RankExperts(msgspec.Struct, frozen=True, array_like=True):
    """
    Experts of the set ``number`` that one rank holds.

    A change of a large group's map has hundreds of these and goes to every
    rank, so they are encoded as arrays, which take a third of the bytes.
    """

    number: int
    rank: int
    experts: list[int]


@dataclass(frozen=True, slots=True)
class StageRequest:
    """
    Have a rank load the experts that it lacks for a map.

    The map is that of version ``base`` with ``differences`` applied or, if the
    agent lacks that version, the complete ``layers``. Differences are preferred,
    because complete maps of a large group would saturate the link of the planner's
    instance. ``dealt`` describes a base that assigns experts to ranks round-robin,
    which every agent can compute.
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
    Have an agent promise to keep the pass that its rank was ordered to hold.

    Until it has accepted, it may release the pass. After that it does so only
    if all ranks are armed, or if all but the planner's have promised not to be
    armed, see RevokeRequest. ``planner`` is the address of the planner's agent. It is
    empty if the planner may order engines itself, since then no agent can know what
    the planner has ordered.
    """

    fence: int
    epoch: int
    step: int
    group: str = ANY_GROUP
    planner: str = ""


@dataclass(frozen=True, slots=True)
class WithdrawRequest:
    """
    Have an agent promise never to accept a pass that its rank was ordered to hold.

    It refuses if it has already accepted the pass.
    """

    fence: int
    epoch: int
    step: int
    group: str = ANY_GROUP


@dataclass(frozen=True, slots=True)
class RevokeRequest:
    """
    Have an agent promise never to arm its rank for a pass at a planner's request.

    It refuses if it has begun to do so, or can't know whether it has.
    """

    epoch: int
    step: int
    group: str = ANY_GROUP


@dataclass(frozen=True, slots=True)
class ArmRequest:
    """
    Have a rank switch to a loaded map at the start of a pass.

    ``finishes`` marks a sender that completes a change that another one began: some
    rank is armed for it, or the pass is promised and will not be withdrawn.
    """

    fence: int
    epoch: int
    version: int
    step: int
    group: str = ANY_GROUP
    finishes: bool = False


@dataclass(frozen=True, slots=True)
class GoRequest:
    """Have a rank release a pass that it holds, so that the group begins it."""

    epoch: int
    step: int
    group: str = ANY_GROUP


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """
    Answer to an order: whether the engine accepted it, and the rank's state after it.

    ``lacks_base`` requests the complete map instead of its differences.
    """

    taken: bool
    state: RankState | None = None
    lacks_base: bool = False


@dataclass(frozen=True, slots=True)
class RelayedMessage:
    """Message with the addresses of the agents to which it is relayed."""

    addresses: list[str]
    message: msgspec.Raw


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """
    Have an agent relay messages to other agents and collect their answers.

    ``seconds`` is the time limit for these calls.
    """

    path: str
    messages: list[RelayedMessage]
    seconds: float


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Answers that were received, by the address of the agent that sent them."""

    answers: dict[str, msgspec.Raw]
