"""Task that claims, takes over and hands over shares."""

import random
from dataclasses import replace

import anyio
from loguru import logger

from briarthread_agent.attempts.record_store import RecordStore
from briarthread_agent.shares.exported_record import HandOver
from briarthread_agent.shares.hand_over import export_shares, split_into_batches
from briarthread_agent.shares.holder_probe import (
    ProbeResult,
    fetch_hello,
    probe_holder,
)
from briarthread_agent.shares.share_guard import ShareGuard
from briarthread_agent.shares.share_writer import ShareWriter
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import (
    ChannelError,
    ConflictError,
    PlatformError,
)
from briarthread_common.feeds.feed_set import FeedSet
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json
from briarthread_common.messages.instance import Instance
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.shares.share_row import ShareRow, share_name
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.feed_replicator import FeedReplicator
from briarthread_common.utils.hashing import rendezvous_order

HAND_OVER_PATH = "/agent/v1/shares/memory"
RECONCILE_INTERVAL = 2.0
"""Mean seconds between two checks of the shares."""
HAND_OVER_TIMEOUT = 3.0
"""Timeout in seconds of one hand-over message."""
TAKEOVER_DELAY = 8.0
"""Seconds for which an address must refuse before its shares are taken over."""


class ShareManager:
    """
    Ensure that every share of this agent's service in its data centre is held.

    Rows change only by compare-and-set in the platform's table and never expire. A
    share without a row is claimed by the first live agent in the share's rendezvous
    order. A share whose holder is proven dead is taken over by the next agent in that
    order, with quarantine. A leaving holder hands records and row over to the next
    agent, without quarantine.
    """

    def __init__(
        self,
        guard: ShareGuard,
        record_store: RecordStore,
        feeds: FeedSet,
        directory: Directory,
        platform: PlatformClient,
        replicator: FeedReplicator,
        channel: Channel,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self.guard = guard
        self.instance = guard.instance
        self.record_store = record_store
        self.directory = directory
        self.replicator = replicator
        self.channel = channel
        self.events = events
        self.rng = rng
        self.writer = ShareWriter(feeds.shares, platform, replicator)
        self.refused_since: dict[str, float] = {}

    async def run(self) -> None:
        """Reconcile the shares periodically until cancelled."""
        await self.replicator.started.wait()
        while True:
            try:
                await self.reconcile()
            except (ConflictError, PlatformError, ChannelError) as error:
                logger.debug("shares: {}", error)
            await anyio.sleep(RECONCILE_INTERVAL * self.rng.uniform(0.5, 1.5))

    async def reconcile(self) -> None:
        """Confirm the shares after a freeze, then claim those due to this agent."""
        if self.guard.freeze_detector.check():
            await self._confirm()
        if self.guard.draining:
            return
        claims = await self._find_claims()
        if claims:
            await self.writer.write(claims)

    async def hand_over_all(self) -> None:
        """Hand every held share over to its next holder, records first."""
        by_successor: dict[str, list[ShareRow]] = {}
        for row in self.guard.held_rows():
            successor = self._next_holder(row.share, {self.instance.name})
            if successor is not None:
                by_successor.setdefault(successor.name, []).append(row)
        for name, rows in by_successor.items():
            await self.hand_over(rows, self.directory.all()[name])

    async def hand_over(self, rows: list[ShareRow], successor: Instance) -> None:
        """
        Hand shares and their records over to a successor.

        Before it sends the records, this agent stops starting keys of the shares, so
        the records sent are complete. If the platform cannot be reached, the rows
        stay, and the shares are quarantined when another agent takes them over.
        """
        shares = [row.share for row in rows]
        self.guard.handing_over.update(shares)
        try:
            hello = await fetch_hello(self.channel, successor.address)
            await self._send_records(shares, successor)
            moved = [self._moved_to(row, successor, hello.incarnation) for row in rows]
            await self.writer.write(moved)
            await self.replicator.exchange_with(successor.address)
            self.events.add("handed-over", successor.name, f"shares {shares}")
        except (ConflictError, PlatformError, ChannelError) as error:
            self.events.add("hand-over-failed", successor.name, str(error))

    async def send_late_records(self) -> None:
        """Send the records again, with responses completed since the hand-over."""
        for row in self._handed_over_rows():
            successor = self.directory.all().get(row.holder)
            if successor is not None:
                await self._send_records([row.share], successor)

    def _handed_over_rows(self) -> list[ShareRow]:
        rows = [self.guard.row(share) for share in self.guard.handing_over]
        return [r for r in rows if r is not None and r.address != self.instance.address]

    async def _send_records(self, shares: list[int], successor: Instance) -> None:
        for batch in split_into_batches(export_shares(self.record_store, shares)):
            message = HandOver(self.instance.service, self.guard.incarnation, batch)
            await call_json(
                self.channel,
                successor.address,
                "POST",
                HAND_OVER_PATH,
                message,
                bool,
                HAND_OVER_TIMEOUT,
            )

    async def _find_claims(self) -> list[ShareRow]:
        service = self.guard.text.current().services.get(self.instance.service)
        if service is None or self.instance.data_centre not in service.data_centres:
            return []
        claims: list[ShareRow] = []
        for share in range(service.shares):
            row = self.guard.row(share)
            if row is None:
                if self._is_next(share, set()):
                    claims.append(self._claimed_row(share, quarantine=0.0))
            elif row.address == self.instance.address:
                claims.extend(self._claim_inherited(row))
            elif await self._may_take_over(row):
                self.events.add("took-over", f"share/{share}", f"{row.holder} is dead")
                claims.append(self._claimed_row(share, self.guard.new_quarantine_end()))
        return claims

    def _claim_inherited(self, row: ShareRow) -> list[ShareRow]:
        if row.incarnation == self.guard.incarnation:
            return []
        return [self._claimed_row(row.share, self.guard.quarantine_of(row))]

    async def _may_take_over(self, row: ShareRow) -> bool:
        if not self._is_next(row.share, {row.holder}):
            return False
        result = await probe_holder(self.channel, row.address, row.incarnation)
        is_listed = row.holder in self.directory.all()
        match result:
            case ProbeResult.ALIVE:
                self.refused_since.pop(row.address, None)
                return False
            case ProbeResult.REPLACED:
                return False
            case ProbeResult.REFUSED:
                now = self.guard.clock.now()
                first_refused = self.refused_since.setdefault(row.address, now)
                return not is_listed or now - first_refused >= TAKEOVER_DELAY
            case ProbeResult.SILENT:
                return not is_listed

    async def _confirm(self) -> None:
        """Read the rows again after a freeze, from the platform or a peer."""
        try:
            await self.replicator.poll_platform()
        except PlatformError:
            await self._confirm_with_peer()
        self.events.add(
            "confirmed", self.instance.name, "shares read again after a freeze"
        )
        self.guard.freeze_detector.clear()

    async def _confirm_with_peer(self) -> None:
        peers = [
            peer for peer in self.replicator.peers() if peer.name != self.instance.name
        ]
        if not peers:
            raise PlatformError("no peer to confirm the shares with")
        await self.replicator.exchange_with(self.rng.choice(peers).address)

    def _claimed_row(self, share: int, quarantine: float) -> ShareRow:
        return ShareRow(
            service=self.instance.service,
            data_centre=self.instance.data_centre,
            share=share,
            holder=self.instance.name,
            address=self.instance.address,
            incarnation=self.guard.incarnation,
            version=0,
            quarantine=quarantine,
        )

    def _moved_to(
        self, row: ShareRow, successor: Instance, incarnation: str
    ) -> ShareRow:
        return replace(
            row,
            holder=successor.name,
            address=successor.address,
            incarnation=incarnation,
            quarantine=self.guard.quarantine_of(row),
        )

    def _is_next(self, share: int, excluded: set[str]) -> bool:
        successor = self._next_holder(share, excluded)
        return successor is not None and successor.name == self.instance.name

    def _next_holder(self, share: int, excluded: set[str]) -> Instance | None:
        agents = self.directory.targets(
            self.instance.service, self.instance.data_centre
        )
        by_name = {agent.name: agent for agent in agents if agent.name not in excluded}
        key = share_name(self.instance.service, self.instance.data_centre, share)
        order = rendezvous_order(key, by_name)
        return by_name[order[0]] if order else None
