"""Variants of admission, each with one mechanism disabled or replaced."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field, replace
from unittest import mock

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_entry.direct.admission import admission_rule, group_admission
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.groups import group_health
from briarthread_entry.direct.groups.group_capacity import GroupCapacities
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_standins.load_simulation import ENTRIES

FIXED_STREAMS = 36
"""Concurrent streams of all entries under the fixed limit: all slots of the group."""
INFINITE_SECONDS = float("inf")


def leave_unchanged(entry: DirectEntry) -> None:
    """Leave the entry unchanged."""


@dataclass(frozen=True, slots=True)
class Variant:
    """
    A variant of admission to simulate.

    ``patches`` replace attributes of modules or classes during the simulation, and
    ``prepare`` changes each entry.
    """

    name: str
    patches: tuple[tuple[object, str, object], ...] = ()
    prepare: Callable[[DirectEntry], None] = field(default=leave_unchanged)

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Apply the patches within the context."""
        with ExitStack() as stack:
            for owner, name, value in self.patches:
                stack.enter_context(mock.patch.object(owner, name, value))
            yield


def no_limit(entry: DirectEntry) -> None:
    """Admit every request at once."""

    async def admit_at_once(request: DirectRequest) -> None:
        return

    entry.admission.admit = admit_at_once


def fixed_limit(entry: DirectEntry) -> None:
    """Limit each entry to an equal share of a fixed number of streams."""

    async def admit_within_limit(request: DirectRequest) -> None:
        running = sum(state.running for state in entry.registry.states.values())
        if running >= FIXED_STREAMS // len(ENTRIES):
            raise RequestError(
                ErrorKind.OVERLOADED, "fixed limit reached", retry_after=1.0
            )

    entry.admission.admit = admit_within_limit


def limit_by_slots(entry: DirectEntry) -> None:
    """Count every slot as capacity, however long the passes get."""
    combined_capacity = entry.admission._combined_capacity

    def all_slots(capacities: GroupCapacities) -> admission_rule.GroupCapacity:
        return replace(combined_capacity(capacities), limit=FIXED_STREAMS)

    entry.admission._combined_capacity = all_slots


def no_wait(entry: DirectEntry) -> None:
    """Refuse at once instead of queueing requests that could still be in time."""
    entry.admission._max_wait = lambda request: 0.0


def short_client_retry_wait(entry: DirectEntry) -> None:
    """Let client retries wait for capacity no longer than new requests."""

    def wait_deadline(request: DirectRequest, place: object, patience: float) -> float:
        return request.arrived + patience

    entry.admission._wait_deadline = wait_deadline


def no_retry_detection(entry: DirectEntry) -> None:
    """Treat client retries as new requests."""
    entry.admission.retry_detector.is_client_retry = lambda route, time_left: False


def no_peer_reports(entry: DirectEntry) -> None:
    """Count only this entry's running requests, without those of other entries."""
    entry.peer_reports.running_elsewhere = lambda target, now: 0
    entry.peer_reports.total_running_elsewhere = lambda targets, now: 0


def shortest_retry_after(time_left: float, pick: float) -> float:
    """Give every refused caller the shortest retry delay, without spreading."""
    return min(admission_rule.MIN_RETRY_AFTER_SECONDS, max(time_left, 0.0))


def always_send(
    health: group_health.GroupHealth, now: float, elsewhere: bool = False
) -> bool:
    """Send requests to a failed group as to any other."""
    return True


VARIANTS = (
    Variant("as shipped"),
    Variant("baseline: no limit", prepare=no_limit),
    Variant("baseline: fixed limit", prepare=fixed_limit),
    Variant("without the predicted pass", prepare=limit_by_slots),
    Variant("without waiting for room", prepare=no_wait),
    Variant(
        "without room for new callers", ((admission_rule, "NEW_CALLER_RESERVE", 0.0),)
    ),
    Variant("without telling who came back", prepare=no_retry_detection),
    Variant("without waits of those who came back", prepare=short_client_retry_wait),
    Variant(
        "without spread returns",
        ((admission_rule, "spread_retry_after", shortest_retry_after),),
    ),
    Variant("without sums of all entries", prepare=no_peer_reports),
    Variant(
        "without refusing for a group that is away",
        ((group_health.GroupHealth, "may_send", always_send),),
    ),
    Variant(
        "outage expected to end at once",
        ((group_health, "TYPICAL_OUTAGE_SECONDS", 0.0),),
    ),
    Variant(
        "outage expected never to end",
        ((group_health, "TYPICAL_OUTAGE_SECONDS", INFINITE_SECONDS),),
    ),
    Variant(
        "longest wait for room 0.1 s", ((group_admission, "MAX_WAIT_SECONDS", 0.1),)
    ),
)
