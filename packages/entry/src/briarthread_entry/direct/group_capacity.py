"""
What the groups of a service have room for, as an entry knows it.

Each group is a thing of its own: what runs there, how long its passes are and
whether it serves are known and decided for each, so that one that is away or slow
leaves the others as they are.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import replace

import anyio
from loguru import logger

from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.admission_rule import GroupCapacity
from briarthread_entry.direct.direct_request import DirectRequest
from briarthread_entry.direct.group_concurrency import (
    initial_request_cost,
    max_concurrency,
)
from briarthread_entry.direct.group_health import GroupHealth
from briarthread_entry.direct.group_membership import GroupMembership
from briarthread_entry.direct.pass_meter import PassMeter
from briarthread_entry.direct.peer_reports import PeerReports
from briarthread_entry.direct.slow_ranks import SlowRanks
from briarthread_entry.direct.target_backoffs import TargetBackoffs
from briarthread_entry.direct.target_limits import TargetLimits
from briarthread_entry.direct.target_registry import TargetRegistry
from briarthread_entry.direct.target_state import DirectTargetState

RECENT_EVENT_SECONDS = 0.4
"""Age of the last event of a stream up to which the group serves, whatever an
agent says; its own rank may be leaving the group."""
RUNNING_COUNT_SECONDS = 0.01
"""How long a count of what runs in a group holds for the events of its streams:
they come together, one of each stream a pass, and each would be counted for."""

GroupCapacities = dict[GroupId, GroupCapacity]


class GroupCapacityTracker:
    """Keep the passes and the health of each group, and tell its room."""

    def __init__(
        self,
        book: TargetRegistry,
        peer_reports: PeerReports,
        membership: GroupMembership,
        slow_ranks: SlowRanks,
        limits: TargetLimits,
        backoffs: TargetBackoffs,
    ) -> None:
        self.book = book
        self.peer_reports = peer_reports
        self.membership = membership
        self.slow_ranks = slow_ranks
        self.limits = limits
        self.backoffs = backoffs
        self.meters: dict[GroupId, PassMeter] = {}
        self.healths: dict[GroupId, GroupHealth] = {}
        self.running_counts: dict[GroupId, tuple[float, int]] = {}

    def meter(self, service: DirectService, group: GroupId) -> PassMeter:
        """Return the meter of a group's passes."""
        meter = self.meters.get(group)
        if meter is None:
            meter = self.meters[group] = self._new_meter(service, group)
        return meter

    def _new_meter(self, service: DirectService, group: GroupId) -> PassMeter:
        engine = service.engine
        if engine is None:
            return PassMeter(0.0, 0.0)
        ranks = len(self._ranks(group, anyio.current_time()))
        usual = initial_request_cost(engine, max(ranks, 1))
        return PassMeter(engine.steps_per_pass * engine.step_seconds, usual)

    def health(self, group: GroupId) -> GroupHealth:
        """Return the health of a group."""
        return self.healths.setdefault(group, GroupHealth())

    def capacities(self, request: DirectRequest, now: float) -> GroupCapacities:
        """
        Return the groups that a request may go to, each with its room.

        A group that is away gets a request now and then to see whether it is back;
        that request may go nowhere else.
        """
        found = self._all_capacities(request, now)
        elsewhere = any(room.free > 0 for room in found.values() if room.serving)
        for group, room in found.items():
            if room.serving or room.opens_in > 0:
                continue
            if self.health(group).may_send(now, elsewhere):
                return {group: replace(room, serving=True)}
        return found

    def open_groups(self, request: DirectRequest, now: float) -> set[GroupId]:
        """Return the groups that serve and have room, probing none."""
        return groups_with_capacity(self._all_capacities(request, now))

    def _all_capacities(self, request: DirectRequest, now: float) -> GroupCapacities:
        service = request.service
        usable = self.membership.by_group(
            self.slow_ranks.usable_ranks(service.name, now)
        )
        return {
            group: self._capacity(request, group, states, now)
            for group, states in usable.items()
        }

    def _capacity(
        self,
        request: DirectRequest,
        group: GroupId,
        states: Sequence[DirectTargetState],
        now: float,
    ) -> GroupCapacity:
        service = request.service
        each = self.meter(service, group).request_cost(now)
        if each is None:
            each = self.peer_reports.request_cost(str(group), now)
        most = max_concurrency(len(states), service.engine, request.route.gap_slo, each)
        return GroupCapacity(
            serving=self._serves(service, group, now),
            running=self._running(states, now),
            limit=min(most, sum(self._rank_limit(state, now) for state in states)),
            recovers_in=self.health(group).seconds_to_recovery(now),
            opens_in=self._opens_in(states, now),
        )

    def _opens_in(self, states: Sequence[DirectTargetState], now: float) -> float:
        """Return in how many seconds the first rank accepts requests, 0.0 for now."""
        opens = (self.backoffs.opens_at(state.target.name, now) for state in states)
        return max(min(opens, default=now) - now, 0.0)

    def _rank_limit(self, state: DirectTargetState, now: float) -> int:
        """
        Return how many requests a rank may run at once.

        One that names a limit runs what comes within it in the time of an answer. One
        in backoff gets nothing beyond what it runs, one in slow start a few more.
        """
        slots = state.target.slots
        limit = self.limits.limit_of(state.target.name)
        if limit is not None and state.response_seconds.samples:
            slots = min(math.ceil(limit * state.response_seconds.value), slots)
        free = self.backoffs.free_attempts(state.target.name, now)
        if free is None:
            return slots
        return min(self._running([state], now) + free, slots)

    def _serves(self, service: DirectService, group: GroupId, now: float) -> bool:
        """
        Tell whether a group serves, by all that is known.

        An agent's word may be wrong: its own rank may be leaving the group. So
        it never keeps the probes of a group away that is taken to be broken.
        """
        health = self.health(group)
        said = self.slow_ranks.group_reports.is_serving(group, now)
        flowing = now - self.meter(service, group).last_event <= RECENT_EVENT_SECONDS
        if said is False and not flowing and not health.broken:
            health.note_broken(now)
            logger.warning("group: {} is not serving, says an agent", group)
        if said is True and health.note_reported_serving(now):
            logger.info("group: {} serves again, says an agent", group)
        return not health.broken

    def _ranks(self, group: GroupId, now: float) -> list[DirectTargetState]:
        return [
            state
            for state in self.book.available_targets(group.service, now)
            if self.membership.group_of(state.target) == group
        ]

    def _running(self, states: Sequence[DirectTargetState], now: float) -> int:
        names = (state.target.name for state in states)
        elsewhere = self.peer_reports.total_running_elsewhere(names, now)
        return elsewhere + sum(state.running for state in states)

    def _cached_running(self, group: GroupId, now: float) -> int:
        """Return what runs in a group, counted anew now and then."""
        counted = self.running_counts.get(group)
        if counted is None or now - counted[0] > RUNNING_COUNT_SECONDS:
            running = self._running(self._ranks(group, now), now)
            counted = self.running_counts[group] = (now, running)
        return counted[1]

    def all_broken(self, service: str) -> bool:
        """Tell whether no group of a service is known to serve."""
        of_service = [
            health for group, health in self.healths.items() if group.service == service
        ]
        return bool(of_service) and all(health.broken for health in of_service)

    def last_recovery(self, service: str) -> float:
        """Return when a group of a service was last seen to be back."""
        return max(
            (
                health.recovered_at
                for group, health in self.healths.items()
                if group.service == service
            ),
            default=float("-inf"),
        )

    def shortest_pass(self, service: DirectService, now: float) -> float | None:
        """Return the mean pass of the fastest group that streams show."""
        seen = [
            seconds
            for group, meter in self.meters.items()
            if group.service == service.name
            and (seconds := meter.mean_seconds(now)) is not None
        ]
        return min(seen, default=None)

    def note_refused(self, group: GroupId, faulty: str) -> None:
        """Record that a rank refused for its group."""
        if self.health(group).note_broken(anyio.current_time()):
            logger.warning("group: {} is not serving: {}", group, faulty)

    def note_event(
        self, service: DirectService, group: GroupId, previous: float | None
    ) -> None:
        """Record an event of one of this entry's streams in a group."""
        now = anyio.current_time()
        self.meter(service, group).note_event(
            previous, now, self._cached_running(group, now)
        )
        if self.health(group).note_serving(now):
            logger.info("group: {} serves again", group)


def groups_with_capacity(rooms: Mapping[GroupId, GroupCapacity]) -> set[GroupId]:
    """Return the groups that serve and have room."""
    return {group for group, room in rooms.items() if room.serving and room.free > 0}


def combined_capacity(rooms: Mapping[GroupId, GroupCapacity]) -> GroupCapacity:
    """
    Return the room of all groups that serve, or of all where none does.

    What runs in a group beyond its limit takes no room from the others.

    >>> rooms = {
    ...     GroupId("m", "a"): GroupCapacity(True, 12, 10),
    ...     GroupId("m", "b"): GroupCapacity(True, 4, 10),
    ...     GroupId("m", "c"): GroupCapacity(False, 0, 10, recovers_in=2.0),
    ... }
    >>> combined_capacity(rooms)
    GroupCapacity(serving=True, running=14, limit=20, recovers_in=0.0, opens_in=0.0)
    """
    serving = [room for room in rooms.values() if room.serving]
    counted = serving or list(rooms.values())
    recovers_in = min((room.recovers_in for room in counted), default=0.0)
    opens_in = min((room.opens_in for room in counted), default=0.0)
    return GroupCapacity(
        serving=bool(serving),
        running=sum(min(room.running, room.limit) for room in counted),
        limit=sum(room.limit for room in counted),
        recovers_in=0.0 if serving else recovers_in,
        opens_in=opens_in,
    )
