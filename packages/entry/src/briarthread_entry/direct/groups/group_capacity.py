"""
Capacity and health of the groups of a service, as known to an entry.

Each group is tracked on its own: its running requests, its pass durations and
whether it serves. A group that is slow or not serving therefore does not affect the
others.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import replace

import anyio
from loguru import logger

from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.admission.admission_rule import GroupCapacity
from briarthread_entry.direct.groups.group_concurrency import (
    MAX_PASS_FRACTION,
    MAX_PEAK_PASS_FRACTION,
    initial_request_cost,
    max_concurrency,
)
from briarthread_entry.direct.groups.group_health import GroupHealth
from briarthread_entry.direct.groups.group_membership import GroupMembership
from briarthread_entry.direct.groups.pass_meter import PassMeter
from briarthread_entry.direct.groups.slow_ranks import SlowRanks
from briarthread_entry.direct.limits.cold_targets import ColdTargets
from briarthread_entry.direct.limits.target_backoffs import TargetBackoffs
from briarthread_entry.direct.limits.target_limits import TargetLimits
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.targets.target_registry import TargetRegistry
from briarthread_entry.direct.targets.target_state import DirectTargetState

RECENT_EVENT_SECONDS = 0.4
"""Age of the last stream event up to which a group counts as serving whatever an agent
reports: the agent's own rank may be leaving the group."""
RUNNING_COUNT_SECONDS = 0.01
"""Lifetime of a group's cached count of running requests.

The events of its streams arrive together, one of each stream per pass, and each one
would need a new count.
"""

GroupCapacities = dict[GroupId, GroupCapacity]


class GroupCapacityTracker:
    """Track the passes and the health of each group and compute its capacity."""

    def __init__(
        self,
        registry: TargetRegistry,
        peer_reports: PeerReports,
        membership: GroupMembership,
        slow_ranks: SlowRanks,
        limits: TargetLimits,
        backoffs: TargetBackoffs,
        cold_targets: ColdTargets,
    ) -> None:
        self.registry = registry
        self.peer_reports = peer_reports
        self.membership = membership
        self.slow_ranks = slow_ranks
        self.limits = limits
        self.backoffs = backoffs
        self.cold_targets = cold_targets
        self.meters: dict[GroupId, PassMeter] = {}
        self.healths: dict[GroupId, GroupHealth] = {}
        self.running_counts: dict[GroupId, tuple[float, int]] = {}

    def meter(self, service: DirectService, group: GroupId) -> PassMeter:
        """Return the pass meter of a group, created on first use."""
        meter = self.meters.get(group)
        if meter is None:
            meter = self.meters[group] = self._new_meter(service, group)
        return meter

    def _new_meter(self, service: DirectService, group: GroupId) -> PassMeter:
        engine = service.engine
        if engine is None:
            return PassMeter(0.0, 0.0)
        ranks = len(self._ranks_in_passes(group, anyio.current_time()))
        initial_cost = initial_request_cost(engine, max(ranks, 1))
        return PassMeter(engine.steps_per_pass * engine.step_seconds, initial_cost)

    def health(self, group: GroupId) -> GroupHealth:
        """Return the health of a group, created on first use."""
        return self.healths.setdefault(group, GroupHealth())

    def capacities(self, request: DirectRequest, now: float) -> GroupCapacities:
        """
        Return the groups that a request may go to, each with its capacity.

        A group that is not serving occasionally gets a request as a probe. That
        request may go to no other group.
        """
        capacities = self._all_capacities(request, now)
        has_alternative = any(
            capacity.free > 0 for capacity in capacities.values() if capacity.serving
        )
        for group, capacity in capacities.items():
            if capacity.serving or capacity.opens_in > 0:
                continue
            if self.health(group).may_send(now, has_alternative):
                return {group: replace(capacity, serving=True)}
        return capacities

    def open_groups(self, request: DirectRequest, now: float) -> set[GroupId]:
        """Return the serving groups with free capacity without probing any."""
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
        evacuated = self._evacuated_ranks(group)
        ranks = len(states) + len(evacuated)
        limit = self._max_concurrency(request, group, ranks, now)
        if evacuated:
            limit = max(limit - self._running(evacuated, now), 0)
        return GroupCapacity(
            serving=self._serves(service, group, now),
            running=self._running(states, now),
            limit=min(limit, self._sum_rank_limits(states, now)),
            recovers_in=self.health(group).seconds_to_recovery(now),
            opens_in=self._opens_in(states, now),
        )

    def _max_concurrency(
        self, request: DirectRequest, group: GroupId, ranks: int, now: float
    ) -> int:
        """
        Return how many requests the passes of a group allow.

        With the mean request cost, every shift of the popularity of the experts makes
        the running streams late. Where the less urgent requests can be refused instead,
        the limit is derived from the peak cost.
        """
        service, meter = request.service, self.meter(request.service, group)
        peak_cost = meter.peak_request_cost(now) if service.has_priorities else None
        if peak_cost is not None:
            request_cost, fraction = peak_cost, MAX_PEAK_PASS_FRACTION
        else:
            request_cost, fraction = meter.request_cost(now), MAX_PASS_FRACTION
        if request_cost is None:
            request_cost = self.peer_reports.request_cost(str(group), now)
        return max_concurrency(
            ranks, service.engine, request.route.gap_slo, request_cost, fraction
        )

    def _opens_in(self, states: Sequence[DirectTargetState], now: float) -> float:
        """Return the seconds until the first rank accepts requests, 0.0 for now."""
        opens = (self.backoffs.opens_at(state.target.name, now) for state in states)
        return max(min(opens, default=now) - now, 0.0)

    def _sum_rank_limits(self, states: Sequence[DirectTargetState], now: float) -> int:
        """
        Return how many requests the ranks may run at once.

        Cold ranks for which this entry gets no tokens get no additional requests. If
        the group has no other ranks, the choice of the target refuses the request.
        """
        if not self.cold_targets.ends:
            return sum(self._rank_limit(state, now) for state in states)
        usual = _usual_response_seconds(states)
        limits = [self._rank_limit(state, now, usual) for state in states]
        closed = [
            self.cold_targets.is_without_issuer(state.target.name, now)
            for state in states
        ]
        if all(closed):
            return sum(limits)
        return sum(
            min(limit, self._running([state], now)) if is_closed else limit
            for state, limit, is_closed in zip(states, limits, closed, strict=True)
        )

    def _rank_limit(
        self, state: DirectTargetState, now: float, usual: float | None = None
    ) -> int:
        """
        Return how many requests a rank may run at once.

        A rank with a rate limit, or a cold rank, runs the requests that its rate
        admits during one response time, which is ``usual`` seconds for a rank that has
        not responded yet. A rank in backoff gets no additional requests, a rank in slow
        start only a few.
        """
        slots = state.target.slots
        limit = self._rate_limit(state, now)
        seconds = (
            state.response_seconds.value if state.response_seconds.samples else usual
        )
        if limit is not None and seconds is not None:
            slots = min(math.ceil(limit * seconds), slots)
        free_attempts = self.backoffs.free_attempts(state.target.name, now)
        if free_attempts is None:
            return slots
        return min(self._running([state], now) + free_attempts, slots)

    def _rate_limit(self, state: DirectTargetState, now: float) -> float | None:
        """Return the requests per second that a rank may get, ``None`` for any."""
        stated = self.limits.limit_of(state.target.name)
        if not self.cold_targets.ends:
            return stated
        cold_rate = self.cold_targets.rate(state.target.name, now)
        return min(
            (rate for rate in (stated, cold_rate) if rate is not None), default=None
        )

    def _serves(self, service: DirectService, group: GroupId, now: float) -> bool:
        """
        Return whether a group serves, from all available information.

        An agent's report may be wrong, since its own rank may be leaving the group. It
        therefore never delays the probes of a group that is recorded as broken.
        """
        health = self.health(group)
        reported = self.slow_ranks.group_reports.is_serving(group, now)
        has_recent_event = (
            now - self.meter(service, group).last_event <= RECENT_EVENT_SECONDS
        )
        if reported is False and not has_recent_event and not health.broken:
            health.note_broken(now)
            logger.warning("group: {} is not serving, as reported by an agent", group)
        if reported is True and health.note_reported_serving(now):
            logger.info("group: {} serves again, as reported by an agent", group)
        return not health.broken

    def _ranks(self, group: GroupId, now: float) -> list[DirectTargetState]:
        return [
            state
            for state in self.registry.available_targets(group.service, now)
            if self.membership.group_of(state.target) == group
        ]

    def _evacuated_ranks(self, group: GroupId) -> list[DirectTargetState]:
        """
        Return the ranks of a group in evacuated data centres.

        They take part in the passes, and what still runs there makes passes longer.
        """
        return [
            state
            for state in self.registry.evacuated_targets(group.service)
            if self.membership.group_of(state.target) == group
        ]

    def _ranks_in_passes(self, group: GroupId, now: float) -> list[DirectTargetState]:
        return self._ranks(group, now) + self._evacuated_ranks(group)

    def _running(self, states: Sequence[DirectTargetState], now: float) -> int:
        target_names = (state.target.name for state in states)
        elsewhere = self.peer_reports.total_running_elsewhere(target_names, now)
        return elsewhere + sum(state.running for state in states)

    def _cached_running(self, group: GroupId, now: float) -> int:
        """Return the running requests of a group, from a briefly cached count."""
        cached = self.running_counts.get(group)
        if cached is None or now - cached[0] > RUNNING_COUNT_SECONDS:
            running = self._running(self._ranks_in_passes(group, now), now)
            cached = self.running_counts[group] = (now, running)
        return cached[1]

    def all_broken(self, service: str) -> bool:
        """Return whether groups of a service are known and all of them are broken."""
        service_healths = [
            health for group, health in self.healths.items() if group.service == service
        ]
        return bool(service_healths) and all(
            health.broken for health in service_healths
        )

    def last_recovery(self, service: str) -> float:
        """Return the time at which a group of a service last recovered."""
        return max(
            (
                health.recovered_at
                for group, health in self.healths.items()
                if group.service == service
            ),
            default=float("-inf"),
        )

    def shortest_pass(self, service: DirectService, now: float) -> float | None:
        """Return the mean pass, in seconds, of the service's fastest observed group."""
        pass_seconds = [
            seconds
            for group, meter in self.meters.items()
            if group.service == service.name
            and (seconds := meter.mean_seconds(now)) is not None
        ]
        return min(pass_seconds, default=None)

    def note_refused(self, group: GroupId, faulty_rank: str) -> None:
        """Record that a rank refused a request because its group is broken."""
        if self.health(group).note_broken(anyio.current_time()):
            logger.warning("group: {} is not serving: {}", group, faulty_rank)

    def note_event(
        self, service: DirectService, group: GroupId, previous: float | None
    ) -> None:
        """
        Record an event of one of this entry's streams in a group.

        ``previous`` is the time of the previous event of the same attempt.
        """
        now = anyio.current_time()
        self.meter(service, group).note_event(
            previous, now, self._cached_running(group, now)
        )
        if self.health(group).note_serving(now):
            logger.info("group: {} serves again", group)


def _usual_response_seconds(states: Sequence[DirectTargetState]) -> float | None:
    """Return the mean response time of the ranks that have responded."""
    observed = [
        state.response_seconds.value
        for state in states
        if state.response_seconds.samples
    ]
    return sum(observed) / len(observed) if observed else None


def groups_with_capacity(capacities: Mapping[GroupId, GroupCapacity]) -> set[GroupId]:
    """Return the serving groups with free capacity."""
    return {
        group
        for group, capacity in capacities.items()
        if capacity.serving and capacity.free > 0
    }


def combined_capacity(capacities: Mapping[GroupId, GroupCapacity]) -> GroupCapacity:
    """
    Return the combined capacity of the serving groups, or of all if none serves.

    Requests beyond the limit of one group do not reduce the capacity of the others.

    >>> capacities = {
    ...     GroupId("m", "a"): GroupCapacity(True, 12, 10),
    ...     GroupId("m", "b"): GroupCapacity(True, 4, 10),
    ...     GroupId("m", "c"): GroupCapacity(False, 0, 10, recovers_in=2.0),
    ... }
    >>> combined_capacity(capacities)
    GroupCapacity(serving=True, running=14, limit=20, recovers_in=0.0, opens_in=0.0)
    """
    serving = [capacity for capacity in capacities.values() if capacity.serving]
    included = serving or list(capacities.values())
    recovers_in = min((capacity.recovers_in for capacity in included), default=0.0)
    opens_in = min((capacity.opens_in for capacity in included), default=0.0)
    return GroupCapacity(
        serving=bool(serving),
        running=sum(min(capacity.running, capacity.limit) for capacity in included),
        limit=sum(capacity.limit for capacity in included),
        recovers_in=0.0 if serving else recovers_in,
        opens_in=opens_in,
    )
