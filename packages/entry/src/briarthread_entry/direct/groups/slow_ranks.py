"""
Exclusion of slow ranks of a lock-step group.

A rank may become several times slower than the others. A pass takes as long as its
slowest rank, so a request on a slow rank delays the requests on all other ranks. A rank
without requests delays none.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import anyio

from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.groups.group_membership import GroupMembership
from briarthread_entry.direct.groups.group_reports import GroupReports
from briarthread_entry.direct.routing.choose_target import without_slow
from briarthread_entry.direct.targets.target_registry import TargetRegistry
from briarthread_entry.direct.targets.target_state import DirectTargetState

MIN_MOVE_FACTOR = 2.0
"""Slowdown of a rank from which its streams are moved to other ranks. Moving a stream
means processing its prompt again, which costs about one pass."""


class SlowRanks:
    """Select the ranks for new requests and move streams off slow ranks."""

    def __init__(
        self,
        registry: TargetRegistry,
        membership: GroupMembership,
        group_reports: GroupReports,
    ) -> None:
        self.registry = registry
        self.membership = membership
        self.group_reports = group_reports
        self.attempts: dict[_WatchedAttempt, None] = {}

    def usable_ranks(self, service: str, now: float) -> list[DirectTargetState]:
        """Return the ranks of a service that may get new requests."""
        ranks: list[DirectTargetState] = []
        by_group = self.membership.by_group(
            self.registry.available_targets(service, now)
        )
        for group, states in by_group.items():
            ranks += self._usable_of(group, states, now)
        return ranks

    def _usable_of(
        self, group: GroupId, states: list[DirectTargetState], now: float
    ) -> list[DirectTargetState]:
        if not self.group_reports.has_slow_rank(group, now):
            return states
        return without_slow(
            states, lambda address: self.group_reports.slowdown(group, address, now)
        )

    @contextmanager
    def watch(
        self, service: str, state: DirectTargetState, on_slow: Callable[[float], None]
    ) -> Iterator[None]:
        """
        Call ``on_slow`` at most once, with the slowdown, when the rank is too slow.

        Nothing is awaited on exit, so that a finished attempt is recorded before its
        caller's next request.
        """
        attempt = _WatchedAttempt(service, state, on_slow)
        self.attempts[attempt] = None
        try:
            yield
        finally:
            self.attempts.pop(attempt, None)

    async def run(self) -> None:
        """Move attempts off slow ranks until cancelled."""
        while True:
            for attempt in list(self.attempts):
                factor = self._move_factor(attempt)
                if factor is not None:
                    self.attempts.pop(attempt, None)
                    attempt.on_slow(factor)
            await self.group_reports.wait_change()

    def _move_factor(self, attempt: "_WatchedAttempt") -> float | None:
        now = anyio.current_time()
        service, state = attempt.service, attempt.state
        group = self.membership.group_of(state.target)
        factor = self.group_reports.slowdown(group, state.target.address, now)
        if factor < MIN_MOVE_FACTOR or state in self.usable_ranks(service, now):
            return None
        return factor


@dataclass(frozen=True, eq=False, slots=True)
class _WatchedAttempt:
    service: str
    state: DirectTargetState
    on_slow: Callable[[float], None]
