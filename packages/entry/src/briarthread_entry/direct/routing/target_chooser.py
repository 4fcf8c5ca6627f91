"""Selection of the target for one attempt."""

import random

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.event_log import EventLog
from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.admission.group_admission import MAX_WAIT_SECONDS
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.groups.assigned_slots import AssignedSlots
from briarthread_entry.direct.groups.group_capacity import GroupCapacityTracker
from briarthread_entry.direct.groups.slow_ranks import SlowRanks
from briarthread_entry.direct.limits.limit_tokens import LimitTokens
from briarthread_entry.direct.limits.target_backoffs import TargetBackoffs
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.routing.choose_target import choose_rank
from briarthread_entry.direct.routing.plain_targets import PlainTargets
from briarthread_entry.direct.routing.targets_closed import TargetsClosed
from briarthread_entry.direct.targets.standing import Standing
from briarthread_entry.direct.targets.target_checker import TargetChecker
from briarthread_entry.direct.targets.target_condition import TargetCondition
from briarthread_entry.direct.targets.target_registry import TargetRegistry
from briarthread_entry.direct.targets.target_state import DirectTargetState

MAX_WAIT_SHARE = 0.5
"""Fraction of the route's latency objective that may be spent waiting for a target
to accept a request; the rest is left for the response."""
MAX_TOKEN_REQUESTS = 3
"""Tokens requested for one attempt at most, since each may cost a call."""
MAX_CHECK_WAIT_SECONDS = 0.25
"""Longest wait in seconds for the check of a target if no other one is left."""


class TargetChooser:
    """
    Choose the target of an attempt and acquire a token if it has a rate limit.

    A rate limit does not mean that a target is slow or failing: the target is chosen
    like any other while its limit leaves room, and skipped while it does not. A target
    in backoff is not chosen, and no token is acquired for it. A cold target, which
    also needs a token, is chosen only if no warm target has a free slot. One that may
    not answer at its address is chosen only if no other is left.
    """

    def __init__(
        self,
        plain_targets: PlainTargets,
        registry: TargetRegistry,
        peer_reports: PeerReports,
        capacity: GroupCapacityTracker,
        slow_ranks: SlowRanks,
        assigned_slots: AssignedSlots,
        tokens: LimitTokens,
        checker: TargetChecker,
        backoffs: TargetBackoffs,
        crashes: CrashTracker,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self.plain_targets = plain_targets
        self.registry = registry
        self.peer_reports = peer_reports
        self.capacity = capacity
        self.slow_ranks = slow_ranks
        self.assigned_slots = assigned_slots
        self.tokens = tokens
        self.checker = checker
        self.backoffs = backoffs
        self.crashes = crashes
        self.events = events
        self.rng = rng

    async def choose(
        self, request: DirectRequest, tried: set[str], groups: set[GroupId] | None
    ) -> DirectTargetState | None:
        """
        Return the target of the next attempt, ``None`` if none is left to try.

        Raise TargetsClosed if none of the remaining targets accepts a request within
        the time that this one may wait.
        """
        token_requests = 0
        has_waited = False
        while True:
            now = anyio.current_time()
            states = self._candidates(request, tried, groups, now)
            if not states:
                return None
            trusted = [s for s in states if self._is_trusted(s)]
            if not trusted and not has_waited:
                has_waited = True
                await self.checker.wait(states, MAX_CHECK_WAIT_SECONDS)
                continue
            states = trusted or states
            wait_left = (
                self._wait_deadline(request) - now
                if token_requests < MAX_TOKEN_REQUESTS
                else 0.0
            )
            open_states = self._open_targets(
                states, token_requests < MAX_TOKEN_REQUESTS, now
            )
            if not open_states:
                await self._wait(states, now, wait_left)
                continue
            warm_first = self._warm_first(open_states, now)
            candidates = self._preferred(self._without_suspects(warm_first), now)
            state = self._select(request, candidates, now)
            if state is None or not self.tokens.is_limited(state.target.name):
                return state
            token_requests += 1
            all_limited = all(
                self.tokens.is_limited(s.target.name) for s in open_states
            )
            wait = max(wait_left, 0.0) if all_limited else 0.0
            is_cold = self.tokens.is_cold(state.target.name)
            granted = await self.tokens.acquire(state.target, wait)
            if granted and self._still_open(state):
                return state
            if is_cold and not granted:
                self._note_denied(request, state)

    def _is_trusted(self, state: DirectTargetState) -> bool:
        return self.registry.standing(state) is Standing.TRUSTED

    def has_answering_target(self, request: DirectRequest, tried: set[str]) -> bool:
        """
        Return whether a target is left to try that is not known to be silent.

        A target that needs a token does not count, since its token may be denied.
        """
        now = anyio.current_time()
        return any(
            state.ejected_until <= now
            and state.condition is not TargetCondition.SILENT
            and self._opens_at(state, now) <= now
            and not self.tokens.is_limited(state.target.name)
            for state in self._candidates(request, tried, None, now)
        )

    def _open_targets(
        self, states: list[DirectTargetState], allow_limited: bool, now: float
    ) -> list[DirectTargetState]:
        """Return the open targets; those with a limit only if ``allow_limited``."""
        return [
            state
            for state in states
            if self._opens_at(state, now) <= now
            and (allow_limited or not self.tokens.is_limited(state.target.name))
        ]

    def _note_denied(self, request: DirectRequest, state: DirectTargetState) -> None:
        """Add an event for a cold target that gets no request now."""
        now = anyio.current_time()
        opens_in = self._opens_at(state, now) - now
        reason = f"no token for a cold target, the next one in {opens_in:.3f} s"
        self.events.add("cold-target-skipped", state.target.name, reason, request.id)

    def _warm_first(
        self, states: list[DirectTargetState], now: float
    ) -> list[DirectTargetState]:
        """
        Return the warm targets that have a free slot, or all targets without any.

        Slots are counted over all entries. An ejected target counts as full.
        """
        if not self.tokens.cold.ends:
            return states
        free = [
            state
            for state in states
            if not self.tokens.is_cold(state.target.name)
            and state.ejected_until <= now
            and self.total_running(state, now) < state.target.slots
        ]
        return free or states

    def _preferred(
        self, states: list[DirectTargetState], now: float
    ) -> list[DirectTargetState]:
        """
        Return the targets with a free slot and no backoff reported by another entry.

        Return all targets if there are none, or if no backoff is reported. A backoff
        binds only the entry that received it, so the reported targets remain usable.
        """
        if not self.peer_reports.backoff_until:
            return states
        preferred = [
            state
            for state in states
            if not self.peer_reports.is_backing_off(state.target.name, now)
            and self.total_running(state, now) < state.target.slots
        ]
        return preferred or states

    def total_running(self, state: DirectTargetState, now: float) -> int:
        """Return the number of attempts that all entries are running at a target."""
        return state.running + self.peer_reports.running_elsewhere(
            state.target.name, now
        )

    async def _wait(
        self, states: list[DirectTargetState], now: float, wait_left: float
    ) -> None:
        """Wait for the first target to open; raise TargetsClosed if it is too late."""
        first = min(states, key=lambda state: self._opens_at(state, now))
        opens_in = self._opens_at(first, now) - now
        if opens_in > wait_left or wait_left <= 0:
            raise TargetsClosed(self._closed_kind(first, now), max(opens_in, 0.0))
        await anyio.sleep(opens_in)

    def _opens_at(self, state: DirectTargetState, now: float) -> float:
        name = state.target.name
        return max(self.tokens.opens_at(name, now), self.backoffs.opens_at(name, now))

    def _closed_kind(self, state: DirectTargetState, now: float) -> ErrorKind:
        if self.backoffs.opens_at(state.target.name, now) > now:
            return ErrorKind.TARGETS_BACKING_OFF
        return ErrorKind.TARGETS_LIMITED

    def _still_open(self, state: DirectTargetState) -> bool:
        """Return whether a target is still usable after the wait for a token."""
        now = anyio.current_time()
        opens_at = self.backoffs.opens_at(state.target.name, now)
        return self.registry.accepts_requests(state) and opens_at <= now

    def _wait_deadline(self, request: DirectRequest) -> float:
        max_wait = request.route.slo * MAX_WAIT_SHARE
        return request.arrived + min(max_wait, MAX_WAIT_SECONDS)

    def _candidates(
        self,
        request: DirectRequest,
        tried: set[str],
        groups: set[GroupId] | None,
        now: float,
    ) -> list[DirectTargetState]:
        service = request.service
        if service.engine is None:
            states = self.registry.available_targets(service.name, now)
        else:
            states = self.slow_ranks.usable_ranks(service.name, now)
        untried = [state for state in states if state.target.name not in tried]
        return self._in_groups(untried, groups)

    def _select(
        self, request: DirectRequest, states: list[DirectTargetState], now: float
    ) -> DirectTargetState | None:
        service = request.service.name

        def elsewhere(name: str) -> int:
            return self.peer_reports.running_elsewhere(name, now)

        if request.service.engine is None:
            return self.plain_targets.choose(request, states, elsewhere, now)
        listed = self.registry.available_targets(service, now)
        assigned = self.assigned_slots.per_rank(
            service, [state.target for state in listed]
        )
        return choose_rank(states, elsewhere, assigned, now, self.rng)

    def _without_suspects(
        self, states: list[DirectTargetState]
    ) -> list[DirectTargetState]:
        """
        Return the targets that run no request suspected of crashing its target.

        Return all targets if there are none. Keeping a suspect request apart means
        that the next crash identifies it and interrupts few other requests.
        """
        suspects = self.crashes.suspect_targets()
        if not suspects:
            return states
        return [s for s in states if s.target.name not in suspects] or states

    def _in_groups(
        self, states: list[DirectTargetState], groups: set[GroupId] | None
    ) -> list[DirectTargetState]:
        """Return the ranks in the given groups, or all ranks if none is in them."""
        if groups is None:
            return states
        group_of = self.capacity.membership.group_of
        return [state for state in states if group_of(state.target) in groups] or states
