"""The agent's part in the agreement of a group on one expert map."""

from enum import StrEnum

import anyio

from briarthread_agent.maps.engine_client import ORDER_TIMEOUT_SECONDS, EngineClient
from briarthread_agent.maps.group_peers import GroupPeers
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import ChannelError
from briarthread_common.messages.engine_order import EngineState, OrderKind
from briarthread_common.messages.expert_map import FIRST_MAP_VERSION, NO_MAP_VERSION
from briarthread_common.messages.map_messages import (
    Verdict,
)
from briarthread_common.text.group import Group
from briarthread_common.text.text_view import TextView

POLL_SECONDS = 0.05
"""Pause between two polls of the engine while a version is pending."""
IDLE_POLL_SECONDS = 0.5
HOLD_GRACE_SECONDS = 0.2
"""Time for which a held engine waits for the planner's confirmation."""


class Decision(StrEnum):
    """The agent's decision on the pending version."""

    ANNOUNCED = "announced"
    CONFIRMED = "confirmed"
    REFUSED = "refused"


class MapParticipant:
    """
    Switch an engine's map only together with all ranks of its group.

    When a version is announced, the engine holds before the first step with it. The
    planner confirms the version once all agents have acknowledged it, and the engine
    then continues with the new map. An agent whose engine is held without a
    confirmation queries all others. If any of them has seen the confirmation, the
    engine switches to the new map; if all of them promise never to accept it, the
    engine resumes with the old one; otherwise it keeps holding.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        engine: EngineClient,
        text: TextView,
        peers: GroupPeers,
        events: EventLog,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.engine = engine
        self.text = text
        self.peers = peers
        self.events = events
        self.pending_version = NO_MAP_VERSION
        self.decision = Decision.REFUSED
        self.refused_versions: set[int] = set()
        self.ready = anyio.Event()
        self.decision_lock = anyio.Lock()

    def group(self) -> Group | None:
        """Return the group that this agent's target belongs to."""
        return self.text.current().group_of(self.name)

    async def run(self) -> None:
        """Take over the engine, then resolve pending versions until cancelled."""
        while self.group() is None:
            await anyio.sleep(IDLE_POLL_SECONDS)
        await self._take_over()
        while True:
            try:
                await self._poll_engine()
            except ChannelError as error:
                self.events.add("map-wait", self.name, str(error))
            pause = POLL_SECONDS if self.pending_version else IDLE_POLL_SECONDS
            await anyio.sleep(pause)

    async def _take_over(self) -> None:
        """
        Fence off orders that an earlier agent of this target may still have sent.

        An engine that checks fencing tokens refuses them after the first new order. For
        an engine that ignores them, wait until such orders can no longer arrive.
        """
        await anyio.sleep(ORDER_TIMEOUT_SECONDS)
        while True:
            try:
                await self.engine.order(OrderKind.FENCE)
                break
            except ChannelError:
                await anyio.sleep(IDLE_POLL_SECONDS)
        self.ready.set()

    async def _poll_engine(self) -> None:
        state = await self.engine.state()
        if state.hold_for and not state.scheduled:
            self._adopt_hold(state)
            await self._handle_hold(state)
        elif state.version == NO_MAP_VERSION:
            await self._load_group_map()
        elif (
            state.hold_for == NO_MAP_VERSION and self.decision is not Decision.ANNOUNCED
        ):
            self.pending_version = NO_MAP_VERSION

    async def _handle_hold(self, state: EngineState) -> None:
        if self.decision is Decision.CONFIRMED:
            await self.engine.order(OrderKind.SWITCH, state.hold_for)
        elif self.decision is Decision.REFUSED:
            await self._resolve(state.hold_for)
        elif state.held:
            await anyio.sleep(HOLD_GRACE_SECONDS)
            await self._resolve(state.hold_for)

    def _adopt_hold(self, state: EngineState) -> None:
        """Adopt a hold that an earlier agent of this target has ordered."""
        if self.pending_version != state.hold_for:
            self.pending_version = state.hold_for
            self.refuse(state.hold_for)

    def refuse(self, version: int) -> None:
        """Promise never to accept the confirmation of a version."""
        self.refused_versions.add(version)
        if version == self.pending_version:
            self.decision = Decision.REFUSED

    async def _resolve(self, version: int) -> None:
        """Decide on a version from the verdicts of all other agents."""
        async with self.decision_lock:
            if self.pending_version != version or self.decision is Decision.CONFIRMED:
                return
            self.refuse(version)
        verdicts = await self.peers.fetch_verdicts(self.group(), version)
        if Verdict.CONFIRMED in verdicts:
            await self._order_decision(
                version, OrderKind.SWITCH, "confirmed by another agent"
            )
        elif all(verdict is Verdict.REFUSED for verdict in verdicts):
            await self._order_decision(
                version, OrderKind.RESUME, "refused by all other agents"
            )

    async def _order_decision(self, version: int, kind: OrderKind, reason: str) -> None:
        if not await self.holds_for(version):
            return
        await self.engine.order(kind, version)
        if kind is OrderKind.SWITCH:
            self.decision = Decision.CONFIRMED
        else:
            self.pending_version = NO_MAP_VERSION
        self.events.add(f"map-{kind}", f"map/{version}", reason)

    async def holds_for(self, version: int) -> bool:
        """
        Return whether the engine holds for a version or is to switch to it.

        An engine that was replaced meanwhile holds for none. If it ignores fencing
        tokens it might accept a switch nevertheless, before the other ranks switch.
        """
        try:
            state = await self.engine.state()
        except ChannelError:
            return False
        return state.hold_for == version

    async def _load_group_map(self) -> None:
        """
        Load the group's map on a rank that has just started.

        Pending versions are resolved first. A version that is scheduled for a later
        step is loaded as scheduled, or this rank would switch before the others.
        """
        standings = await self.peers.fetch_standings(self.group())
        if standings is None:
            return
        pending = {row.pending for row in standings if row.pending}
        for version in pending:
            await self._refuse_before_load(version)
        active_maps = {
            (row.version, row.scheduled, row.switch_step)
            for row in standings
            if row.version
        }
        if pending or len(active_maps) > 1:
            return
        version, scheduled, step = (
            active_maps.pop() if active_maps else (FIRST_MAP_VERSION, NO_MAP_VERSION, 0)
        )
        await self.engine.order(OrderKind.LOAD, version, step, scheduled)
        self.events.add("map-load", f"map/{version}", "as the rest of the group")

    async def _refuse_before_load(self, version: int) -> None:
        """Refuse a version and request the verdicts of the other agents on it."""
        async with self.decision_lock:
            self.refuse(version)
        await self.peers.fetch_verdicts(self.group(), version)
