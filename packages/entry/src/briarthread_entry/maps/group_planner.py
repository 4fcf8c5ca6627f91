"""Periodic planning of the expert maps of groups."""

import random
from dataclasses import dataclass

import anyio
from loguru import logger

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import ChannelError, PlatformError
from briarthread_common.feeds.rejected_rows import RejectedRows
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json
from briarthread_common.messages.expert_map import ExpertMap
from briarthread_common.messages.map_report import REPORT_PATH, MapReport
from briarthread_common.placement.move_rule import KeepMap, MapMove, decide_move
from briarthread_common.placement.popularity import Popularity
from briarthread_common.platform.lease import Lease, LeaseAcquired, LeaseHeldByOther
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.spread.directory import Directory
from briarthread_common.text.group import Group
from briarthread_common.text.text_view import TextView
from briarthread_common.utils.clock import Clock
from briarthread_common.utils.hashing import rendezvous_order
from briarthread_entry.maps.coordinator import Coordinator

PLAN_INTERVAL_SECONDS = 300.0
REPORT_TIMEOUT_SECONDS = 5.0
LEASE_SECONDS = 180.0
WEIGHT_STORE_BYTES_PER_SECOND = 500e6
"""Bandwidth that a group gets from the rate-limited weight store."""
VERSIONS_PER_FENCE = 1 << 20
"""Versions per fencing token; maps proposed under two tokens never share a version."""


@dataclass(slots=True)
class GroupObservation:
    """Hold the planner's data on a group between two observations."""

    popularity: Popularity
    last_counts: list[list[int]]


class GroupPlanner:
    """
    Plan the maps of the groups for which this entry ranks first.

    Observing and deciding need no lease: if two entries do both, they only repeat
    work. A lease with a fencing token is acquired just before a map is activated, so
    a platform outage stops map changes and nothing else.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        text: TextView,
        directory: Directory,
        platform: PlatformClient,
        channel: Channel,
        clock: Clock,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.text = text
        self.directory = directory
        self.platform = platform
        self.channel = channel
        self.clock = clock
        self.events = events
        self.rng = rng
        self.coordinator = Coordinator(channel, directory, events)
        self.observations: dict[str, GroupObservation] = {}
        self.proposals = 0
        self.rejected_leases = RejectedRows("platform: invalid row ignored: {}")

    async def run(self) -> None:
        """Plan the maps periodically until cancelled."""
        while True:
            await anyio.sleep(PLAN_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.2))
            for group in list(self.text.current().groups.values()):
                if self._is_responsible(group):
                    await self._plan_logging_errors(group)

    async def plan(self, group: Group) -> None:
        """Observe a group, decide, and activate a better map if it is worthwhile."""
        report = await self._fetch_report(group)
        if report is None or not self._observe(group, report):
            return
        decision = decide_move(
            0,
            report.expert_map,
            self.observations[group.name].popularity.counts,
            group.slots,
            group.expert_bytes / WEIGHT_STORE_BYTES_PER_SECOND,
            self.text.current().objective,
        )
        match decision:
            case KeepMap(reason=reason):
                self.events.add("map-stays", group.name, reason)
            case MapMove():
                await self._activate(group, decision)

    async def _activate(self, group: Group, move: MapMove) -> None:
        lease = Lease(
            self.platform,
            self.clock,
            f"groups/{group.name}",
            LEASE_SECONDS,
            self.rejected_leases,
        )
        match await lease.acquire(self.name):
            case LeaseHeldByOther(holder=holder):
                self.events.add("map-stays", group.name, f"{holder} holds the lease")
            case LeaseAcquired(fence=fence):
                self.proposals += 1
                version = fence * VERSIONS_PER_FENCE + self.proposals
                self.events.add(
                    "map-move",
                    group.name,
                    f"{move.moved} experts, saves {move.saved:.0f} s, "
                    f"costs {move.cost:.0f} s of loading",
                )
                planned = ExpertMap(version, move.expert_map.layers)
                await self.coordinator.activate(group, planned, fence)

    async def _plan_logging_errors(self, group: Group) -> None:
        try:
            await self.plan(group)
        except (ChannelError, PlatformError) as error:
            logger.debug("maps: {}: {}", group.name, error)

    async def _fetch_report(self, group: Group) -> MapReport | None:
        instances = self.directory.all()
        addresses = [
            instances[name].address for name in group.targets if name in instances
        ]
        if not addresses:
            return None
        return await call_json(
            self.channel,
            self.rng.choice(addresses),
            "GET",
            REPORT_PATH,
            None,
            MapReport,
            REPORT_TIMEOUT_SECONDS,
        )

    def _observe(self, group: Group, report: MapReport) -> bool:
        """Add the token counts since the last report; return whether there were any."""
        observation = self.observations.get(group.name)
        if observation is None:
            popularity = Popularity(group.layers, group.experts)
            popularity.updated = self.clock.now()
            self.observations[group.name] = GroupObservation(popularity, report.counts)
            return False
        new_counts = [
            [max(new - old, 0) for new, old in zip(new_row, old_row, strict=True)]
            for new_row, old_row in zip(
                report.counts, observation.last_counts, strict=True
            )
        ]
        observation.last_counts = report.counts
        observation.popularity.add(self.clock.now(), new_counts)
        return any(map(any, new_counts))

    def _is_responsible(self, group: Group) -> bool:
        if group.data_centre != self.data_centre:
            return False
        names = [entry.name for entry in self.directory.entries(self.data_centre)]
        order = rendezvous_order(f"plan/{group.name}", names)
        return bool(order) and order[0] == self.name
