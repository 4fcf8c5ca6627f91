"""The direct targets that an entry knows."""

from collections.abc import Callable

import anyio
from loguru import logger

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.feeds.feed import Feed
from briarthread_entry.direct.leaving_targets import LeavingTargets
from briarthread_entry.direct.target_state import DirectTargetState

RELIST_SECONDS = 2.0
"""How long after the platform's return an entry that lapsed meanwhile may
still come back; its page on the list of workers says about two seconds."""


class TargetRegistry:
    """
    Keep a state for each target of the feed.

    Entries lapse while the platform is away though their targets live on. So
    one that vanishes while it is away, or soon after, stays in use until the
    time for its return is over. ``on_removed`` is called when some are forgotten.
    """

    def __init__(
        self,
        feed: Feed,
        adapter: PlatformAdapter,
        well_since: Callable[[], float],
        leaving_targets: LeavingTargets,
    ) -> None:
        self.feed = feed
        self.adapter = adapter
        self.well_since = well_since
        self.leaving_targets = leaving_targets
        self.number = -1
        self.raw: dict[str, str] = {}
        self.states: dict[str, DirectTargetState] = {}
        self.on_removed: Callable[[], None] = _ignore

    async def follow(self) -> None:
        """Take over each version as it comes, not only when a request asks."""
        while True:
            number = self.feed.number
            self.refresh(anyio.current_time())
            await self.feed.wait_for_newer(number)

    def available_targets(self, service: str, now: float) -> list[DirectTargetState]:
        """Return the targets of a service that new work may be sent to."""
        self.refresh(now)
        return [
            state
            for state in self.states.values()
            if state.target.service == service and self.accepts_requests(state)
        ]

    def accepts_requests(self, state: DirectTargetState) -> bool:
        """Return whether new requests may be sent to a target."""
        return state.is_usable() and not self.is_leaving(state)

    def is_leaving(self, state: DirectTargetState) -> bool:
        """Return whether a target is leaving, by the list or by its responses."""
        name = state.target.name
        return state.target.leaving or self.leaving_targets.is_leaving(name)

    def refresh(self, now: float) -> None:
        """Take over what the feed says now."""
        # A target that was removed and listed again must not inherit the old state.
        self._forget_gone(now)
        if self.number != self.feed.number:
            self.number = self.feed.number
            self._take_over(now)
            self._forget_gone(now)

    def _forget_gone(self, now: float) -> None:
        gone = [
            name
            for name, state in self.states.items()
            if state.removed_at is not None and now >= self._kept_until(state)
        ]
        for name in gone:
            logger.info("targets: {} is gone", name)
            del self.states[name]
            self.raw.pop(name, None)
        if gone:
            self.on_removed()

    def find(self, name: str) -> DirectTarget | None:
        """Return a target by its name, ``None`` for one that is not known."""
        state = self.states.get(name)
        return None if state is None else state.target

    def _take_over(self, now: float) -> None:
        for name, raw in self.feed.items.items():
            if self.raw.get(name) != raw:
                self._decode(name, raw)
            elif name in self.states:
                self.states[name].removed_at = None
        for name, state in self.states.items():
            if name not in self.feed.items and state.removed_at is None:
                state.removed_at = now

    def _decode(self, name: str, raw: str) -> None:
        try:
            target = self.adapter.decode_target(name, raw)
        except DecodeError as error:
            logger.error("targets: kept what was known: {}", error)
            return
        self.raw[name] = raw
        self._put(target)

    def _put(self, target: DirectTarget) -> None:
        state = self.states.get(target.name)
        if state is None:
            logger.info("targets: {} of {} is new", target.name, target.service)
            self.states[target.name] = DirectTargetState(target)
            return
        if target.leaving and not state.target.leaving:
            logger.info("targets: {} is leaving", target.name)
        state.target = target
        state.removed_at = None

    def _kept_until(self, state: DirectTargetState) -> float:
        """Return when a target that left the list is to be taken for gone."""
        removed = state.removed_at or 0.0
        returned = self.well_since() + RELIST_SECONDS
        return returned if removed < returned else removed


def _ignore() -> None:
    """Take no note of targets that are gone."""
