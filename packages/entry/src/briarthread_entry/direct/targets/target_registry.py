"""Registry of the direct targets that an entry knows."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

import anyio
from loguru import logger

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.rejected_rows import RejectedRows
from briarthread_entry.direct.targets.address_holders import AddressHolders
from briarthread_entry.direct.targets.evacuations import Evacuations
from briarthread_entry.direct.targets.leaving_targets import LeavingTargets
from briarthread_entry.direct.targets.standing import Standing
from briarthread_entry.direct.targets.target_presence import TargetPresence
from briarthread_entry.direct.targets.target_runs import TargetRuns
from briarthread_entry.direct.targets.target_state import DirectTargetState

RELIST_SECONDS = 2.0
"""Time in seconds after an outage of the platform within which a target whose row
expired may be listed again. The platform documents about two seconds."""


class TargetRegistry:
    """
    Keep a state for each target of the feed.

    During an outage of the platform rows expire although their targets still run. A
    target that is removed from the list during an outage, or soon after, therefore
    stays in use until the time for listing it again is over. ``on_removed`` is called
    after targets have been removed, ``on_listed`` with the target of each new or
    changed row, ``on_applied`` after each version of the list.

    A version is left ``is_incomplete`` by an unexpected error. Only ``follow`` applies
    it again, so that requests go on with what is known.

    A row that cannot be applied for an unknown reason is reported to ``on_row_error``
    and ignored like an invalid one, so that it does not keep other rows from use.

    Two callbacks receive the names of targets before these are used again:
    ``on_restarted`` of those that were started anew, ``on_assumed_cold`` of those that
    must be assumed cold from now on because an evacuation has ended.
    """

    def __init__(
        self,
        feed: Feed,
        adapter: PlatformAdapter,
        healthy_since: Callable[[], float],
        leaving_targets: LeavingTargets,
        evacuations: Evacuations,
        runs: TargetRuns,
    ) -> None:
        self.feed = feed
        self.adapter = adapter
        self.healthy_since = healthy_since
        self.leaving_targets = leaving_targets
        self.evacuations = evacuations
        evacuations.on_ended = self._assume_cold
        self.runs = runs
        self.applied_number = -1
        self.is_incomplete = False
        self.raw_rows: dict[str, str] = {}
        self.rejected_rows = RejectedRows(
            "targets: invalid row ignored, keeping the known state: {}"
        )
        self.states: dict[str, DirectTargetState] = {}
        self.holders = AddressHolders()
        self.on_row_error: Callable[[str, Exception], None] = _raise_error
        self.on_removed: Callable[[], None] = _do_nothing
        self.on_restarted: Callable[[Sequence[str]], None] = _ignore_names
        self.on_assumed_cold: Callable[[Sequence[str]], None] = _ignore_names
        self.on_listed: Callable[[DirectTarget], None] = _ignore_row
        self.on_applied: Callable[[], None] = _do_nothing

    async def follow(self) -> None:
        """Apply each version of the feed on arrival, not only when it is needed."""
        while True:
            number = self.feed.number
            if self.is_incomplete:
                self.applied_number = -1
            self.refresh(anyio.current_time())
            await self.feed.wait_for_newer(number)

    def available_targets(self, service: str, now: float) -> list[DirectTargetState]:
        """Return the targets of a service that accept new requests."""
        self.refresh(now)
        untrusted = self.holders.untrusted(now)
        return [
            state
            for state in self.states.values()
            if state.target.service == service
            and self._accepts_requests(state, untrusted)
        ]

    def standing(self, state: DirectTargetState) -> Standing:
        """Return whether a target answers at its address, as far as is known."""
        return self.holders.standing(state, anyio.current_time())

    def accepts_requests(self, state: DirectTargetState) -> bool:
        """Return whether new requests may be sent to a target."""
        untrusted = self.holders.untrusted(anyio.current_time())
        return self._accepts_requests(state, untrusted)

    def _accepts_requests(
        self, state: DirectTargetState, untrusted: Mapping[str, Standing]
    ) -> bool:
        if self.evacuations.data_centres and self.is_evacuated(state):
            return False
        return self._is_in_service(state, untrusted)

    def evacuated_targets(self, service: str) -> list[DirectTargetState]:
        """Return the targets that would accept requests without an evacuation."""
        if not self.evacuations.data_centres:
            return []
        untrusted = self.holders.untrusted(anyio.current_time())
        return [
            state
            for state in self.states.values()
            if state.target.service == service
            and self.is_evacuated(state)
            and self._is_in_service(state, untrusted)
        ]

    def _is_in_service(
        self, state: DirectTargetState, untrusted: Mapping[str, Standing]
    ) -> bool:
        return (
            state.is_usable()
            and not self.is_leaving(state)
            and untrusted.get(state.target.name) is not Standing.EXCLUDED
        )

    def is_evacuated(self, state: DirectTargetState) -> bool:
        """Return whether the operator has evacuated a target's data centre."""
        return state.target.data_centre in self.evacuations.data_centres

    def is_leaving(self, state: DirectTargetState) -> bool:
        """Return whether a target is leaving according to the list or a response."""
        name = state.target.name
        return state.target.leaving or self.leaving_targets.is_leaving(name)

    def refresh(self, now: float) -> None:
        """Apply the current version of the feeds."""
        # A target that was removed and listed again must not inherit the old state.
        self._remove_expired(now)
        if self.applied_number != self.feed.number:
            self.applied_number = self.feed.number
            self.is_incomplete = True
            self._apply_feed(now)
            self._remove_expired(now)
            self.is_incomplete = False
        self.evacuations.refresh()

    def _remove_expired(self, now: float) -> None:
        expired = [
            name
            for name, state in self.states.items()
            if state.removed_at is not None and now >= self._expires_at(state)
        ]
        for name in expired:
            logger.info("targets: {} was removed", name)
            del self.states[name]
            self.raw_rows.pop(name, None)
        if expired:
            self.holders.update(self.states.values())
            self.runs.prune(self.states)
            self.on_removed()

    def find(self, name: str) -> DirectTarget | None:
        """Return a target by name, ``None`` if it is unknown."""
        state = self.states.get(name)
        return None if state is None else state.target

    def find_outside_evacuations(self, name: str) -> DirectTarget | None:
        """Return a target by name, ``None`` if unknown or its data centre evacuated."""
        state = self.states.get(name)
        return None if state is None or self.is_evacuated(state) else state.target

    def _apply_feed(self, now: float) -> None:
        restarted: list[str] = []
        for name, raw in self.feed.items.items():
            if self.raw_rows.get(name) != raw:
                if self._apply_changed_row(name, raw, now):
                    restarted.append(name)
            elif name in self.states:
                self.states[name].removed_at = None
        self._note_missing(now)
        self.holders.update(self.states.values())
        self.on_applied()
        if restarted:
            self.on_restarted(restarted)

    def _apply_changed_row(self, name: str, raw: str, now: float) -> bool:
        """Apply a row; return whether it lists another run than the known one."""
        try:
            target = self._decode(name, raw)
            if target is None:
                return False
            restarted = self._update(target, now)
            self.on_listed(target)
        except Exception as error:
            self.raw_rows.pop(name, None)
            self.rejected_rows.add(name, raw)
            self.on_row_error(name, error)
            return False
        return restarted

    def _note_missing(self, now: float) -> None:
        """Note which targets are no longer in the list."""
        for name, state in self.states.items():
            if name not in self.feed.items and state.removed_at is None:
                state.removed_at = now
        self.rejected_rows.retain(self.feed.items)

    def _decode(self, name: str, raw: str) -> DirectTarget | None:
        """Return the target of a changed row, ``None`` for an invalid one."""
        target = self.rejected_rows.decode(name, raw, self.adapter.decode_target)
        if target is not None:
            self.raw_rows[name] = raw
        return target

    def _update(self, target: DirectTarget, now: float) -> bool:
        """Apply a row; return whether it lists another run than the known one."""
        restarted = self.runs.note(target, now)
        if restarted:
            self._end_run(target)
        self._apply_row(target, now)
        return restarted

    def _end_run(self, target: DirectTarget) -> None:
        """Detach the state of a former run, which its running attempts still hold."""
        logger.info("targets: {} was restarted", target.name)
        state = self.states.pop(target.name, None)
        if state is None:
            return
        # A connection that such an attempt loses is no crash if the run was leaving.
        state.target = replace(state.target, leaving=self.is_leaving(state))
        state.ended = True

    def _apply_row(self, target: DirectTarget, now: float) -> None:
        state = self.states.get(target.name)
        if state is None:
            logger.info("targets: {} of {} is new", target.name, target.service)
            self.states[target.name] = DirectTargetState(
                target, presence=TargetPresence(now)
            )
            return
        if target.address != state.target.address:
            logger.info("targets: {} moved to {}", target.name, target.address)
            state.presence = TargetPresence(now)
        if target.leaving and not state.target.leaving:
            logger.info("targets: {} is leaving", target.name)
        state.target = target
        state.removed_at = None

    def _assume_cold(self, data_centres: frozenset[str]) -> None:
        """Report the targets of data centres whose evacuation has ended."""
        # Targets that are listed but not yet applied must be reported too.
        self.refresh(anyio.current_time())
        names = [
            name
            for name, state in self.states.items()
            if state.target.data_centre in data_centres
        ]
        self.on_assumed_cold(names)

    def _expires_at(self, state: DirectTargetState) -> float:
        """Return when a target that was removed from the list expires."""
        removed = state.removed_at or 0.0
        relist_deadline = self.healthy_since() + RELIST_SECONDS
        return relist_deadline if removed < relist_deadline else removed


def _raise_error(name: str, error: Exception) -> None:
    """Pass on an error with the row of a target."""
    raise error


def _ignore_row(target: DirectTarget) -> None:
    """Ignore the row of a target."""


def _do_nothing() -> None:
    """Ignore the removal of targets."""


def _ignore_names(names: Sequence[str]) -> None:
    """Ignore the names of targets."""
