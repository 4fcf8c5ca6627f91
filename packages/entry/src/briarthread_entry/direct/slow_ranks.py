"""
The ranks of a lock-step group that are too slow to be used.

It answers a rank that turns several times slower than the others. A pass lasts
as long as the slowest rank's part, so that a request on such a rank holds up
those on all others; a rank without requests holds up nobody.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import anyio

from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.choose_target import without_slow
from briarthread_entry.direct.group_membership import GroupMembership
from briarthread_entry.direct.group_reports import GroupReports
from briarthread_entry.direct.target_registry import TargetRegistry
from briarthread_entry.direct.target_state import DirectTargetState

MIN_MOVE_FACTOR = 2.0
"""How many times longer than usual a rank must take for streams to be taken
from it: their prompts are read again elsewhere, about a pass of work."""


class SlowRanks:
    """Tell which ranks new requests may go to, and when to leave one."""

    def __init__(
        self, registry: TargetRegistry, roster: GroupMembership, groups: GroupReports
    ) -> None:
        self.registry = registry
        self.roster = roster
        self.groups = groups
        self.attempts: set[_Watched] = set()

    def usable(self, service: str, now: float) -> list[DirectTargetState]:
        """Return the ranks of a service that new requests may go to."""
        found: list[DirectTargetState] = []
        by_group = self.roster.by_group(self.registry.available_targets(service, now))
        for group, states in by_group.items():
            found += self._usable_of(group, states, now)
        return found

    def _usable_of(
        self, group: GroupId, states: list[DirectTargetState], now: float
    ) -> list[DirectTargetState]:
        if not self.groups.has_slow_rank(group, now):
            return states
        return without_slow(
            states, lambda address: self.groups.slowdown(group, address, now)
        )

    @contextmanager
    def watched(
        self, service: str, state: DirectTargetState, leave: Callable[[float], None]
    ) -> Iterator[None]:
        """
        Have ``leave`` called once when a rank is to be left.

        It gets how many times slower the rank is. Nothing is awaited at the
        end, so that an attempt that is done is noted before its caller's next
        request.
        """
        attempt = _Watched(service, state, leave)
        self.attempts.add(attempt)
        try:
            yield
        finally:
            self.attempts.discard(attempt)

    async def run(self) -> None:
        """Tell attempts to leave slow ranks until cancelled."""
        while True:
            for attempt in list(self.attempts):
                factor = self._leave_factor(attempt)
                if factor is not None:
                    self.attempts.discard(attempt)
                    attempt.leave(factor)
            await self.groups.wait_change()

    def _leave_factor(self, attempt: "_Watched") -> float | None:
        now = anyio.current_time()
        service, state = attempt.service, attempt.state
        group = self.roster.group_of(state.target)
        factor = self.groups.slowdown(group, state.target.address, now)
        if factor < MIN_MOVE_FACTOR or state in self.usable(service, now):
            return None
        return factor


@dataclass(frozen=True, eq=False, slots=True)
class _Watched:
    service: str
    state: DirectTargetState
    leave: Callable[[float], None]
