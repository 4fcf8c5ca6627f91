"""The agent's part in keeping a group on one expert map."""

from enum import StrEnum

import anyio

from briarthread_agent.maps.engine_client import ORDER_TIMEOUT_SECONDS, EngineClient
from briarthread_agent.maps.group_peers import GroupPeers
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import ChannelError
from briarthread_common.messages.engine_order import EngineState, OrderKind
from briarthread_common.messages.expert_map import FIRST_MAP, NO_MAP
from briarthread_common.messages.map_messages import (
    Verdict,
)
from briarthread_common.text.group import Group
from briarthread_common.text.text_view import TextView

POLL_SECONDS = 0.05
"""Seconds between looks at the engine while something is undecided."""
IDLE_POLL_SECONDS = 0.5
HOLD_GRACE_SECONDS = 0.2
"""Seconds for which a held engine waits for the planner's confirmation."""


class Decision(StrEnum):
    """Tell how far this agent has gone with the pending version."""

    ANNOUNCED = "announced"
    CONFIRMED = "confirmed"
    REFUSED = "refused"


class MapParticipant:
    """
    Let an engine change its map only together with all ranks of its group.

    An announced version makes the engine hold before its first step. The
    planner's confirmation, which it sends once all agents have acknowledged,
    lets it go on with the new map. An agent whose engine is held without it
    asks all others: one that has seen the confirmation decides for the new
    map, promises of all others never to accept it decide for the old one,
    and anything else decides nothing, so the engine goes on holding.
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
        self.pending_version = NO_MAP
        self.decision = Decision.REFUSED
        self.refused_versions: set[int] = set()
        self.ready = anyio.Event()
        self.decision_lock = anyio.Lock()

    def group(self) -> Group | None:
        """Return the group that this agent's target belongs to."""
        return self.text.current().group_of(self.name)

    async def run(self) -> None:
        """Take the engine over, then settle whatever holds it."""
        while self.group() is None:
            await anyio.sleep(IDLE_POLL_SECONDS)
        await self._take_over()
        while True:
            try:
                await self._look_after()
            except ChannelError as error:
                self.events.add("map-wait", self.name, str(error))
            pause = POLL_SECONDS if self.pending_version else IDLE_POLL_SECONDS
            await anyio.sleep(pause)

    async def _take_over(self) -> None:
        """
        Shut out orders that the last agent of this slot may still have sent.

        An engine that checks fencing refuses them from the first order on.
        One that ignores it is given the time in which they can arrive.
        """
        await anyio.sleep(ORDER_TIMEOUT_SECONDS)
        while True:
            try:
                await self.engine.order(OrderKind.FENCE)
                break
            except ChannelError:
                await anyio.sleep(IDLE_POLL_SECONDS)
        self.ready.set()

    async def _look_after(self) -> None:
        state = await self.engine.state()
        if state.hold_for and not state.scheduled:
            self._adopt(state)
            await self._look_after_hold(state)
        elif state.version == NO_MAP:
            await self._join()
        elif state.hold_for == NO_MAP and self.decision is not Decision.ANNOUNCED:
            self.pending_version = NO_MAP

    async def _look_after_hold(self, state: EngineState) -> None:
        if self.decision is Decision.CONFIRMED:
            await self.engine.order(OrderKind.SWITCH, state.hold_for)
        elif self.decision is Decision.REFUSED:
            await self._settle(state.hold_for)
        elif state.held:
            await anyio.sleep(HOLD_GRACE_SECONDS)
            await self._settle(state.hold_for)

    def _adopt(self, state: EngineState) -> None:
        """Take up a hold that the last agent of this slot has set."""
        if self.pending_version != state.hold_for:
            self.pending_version = state.hold_for
            self.refuse(state.hold_for)

    def refuse(self, version: int) -> None:
        """Promise never to accept the confirmation of a version."""
        self.refused_versions.add(version)
        if version == self.pending_version:
            self.decision = Decision.REFUSED

    async def _settle(self, version: int) -> None:
        """Find out together with all others what becomes of a version."""
        async with self.decision_lock:
            if self.pending_version != version or self.decision is Decision.CONFIRMED:
                return
            self.refuse(version)
        verdicts = await self.peers.verdicts(self.group(), version)
        if Verdict.CONFIRMED in verdicts:
            await self._decide(version, OrderKind.SWITCH, "another had confirmed it")
        elif all(verdict is Verdict.REFUSED for verdict in verdicts):
            await self._decide(version, OrderKind.RESUME, "nobody had confirmed it")

    async def _decide(self, version: int, kind: OrderKind, reason: str) -> None:
        if not await self.holds_for(version):
            return
        await self.engine.order(kind, version)
        if kind is OrderKind.SWITCH:
            self.decision = Decision.CONFIRMED
        else:
            self.pending_version = NO_MAP
        self.events.add(f"map-{kind}", f"map/{version}", reason)

    async def holds_for(self, version: int) -> bool:
        """
        Tell whether the engine holds for a version, or is to switch to it.

        One that was replaced meanwhile holds for nothing. If it ignores
        fencing it might take a switch all the same, ahead of the others.
        """
        try:
            state = await self.engine.state()
        except ChannelError:
            return False
        return state.hold_for == version

    async def _join(self) -> None:
        """
        Give a rank that has just started the map of its group.

        What is pending is settled first. What is decided for a later step
        is loaded as such, or this rank would be ahead of the others.
        """
        standings = await self.peers.standings(self.group())
        if standings is None:
            return
        pending = {row.pending for row in standings if row.pending}
        for version in pending:
            await self._settle_for_join(version)
        loaded = {
            (row.version, row.scheduled, row.switch_step)
            for row in standings
            if row.version
        }
        if pending or len(loaded) > 1:
            return
        version, scheduled, step = loaded.pop() if loaded else (FIRST_MAP, NO_MAP, 0)
        await self.engine.order(OrderKind.LOAD, version, step, scheduled)
        self.events.add("map-load", f"map/{version}", "as the rest of the group")

    async def _settle_for_join(self, version: int) -> None:
        """Promise to refuse a version, and make the others say what they know."""
        async with self.decision_lock:
            self.refuse(version)
        await self.peers.verdicts(self.group(), version)
