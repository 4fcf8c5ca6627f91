"""The way into the groups of a service's ranks."""

import random
from dataclasses import replace

import anyio

from briarthread_common.core.exceptions import RequestError
from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.running_report import RunningReport
from briarthread_entry.direct.admission_rule import (
    Decision,
    GroupCapacity,
    Refuse,
    Start,
    decide_admission,
)
from briarthread_entry.direct.client_retry_detector import ClientRetryDetector
from briarthread_entry.direct.direct_request import DirectRequest
from briarthread_entry.direct.group_capacity import (
    GroupCapacities,
    GroupCapacityTracker,
    combined_capacity,
    groups_with_capacity,
)
from briarthread_entry.direct.waiting_place import WaitingPlace

POLL_INTERVAL_SECONDS = 0.02
"""How often a waiting request looks for room: a part of a pass."""
MAX_WAIT_SECONDS = 0.2
"""Longest wait for room, s. A wait costs the caller its aim; more than this
and the first event would come late even if room were found."""
MAX_CLIENT_RETRY_WAIT_SECONDS = 1.8
"""Longest wait of a caller who came back, s. It is late already, so that only
its patience counts: callers leave a stream after two seconds without an event."""
PASSES_TO_FIRST_EVENT = 2.0
"""Passes from the start to the first event: the one under way, and its own."""


class GroupAdmission:
    """
    Admit requests to the groups that the ranks of a service form.

    Room is counted over all entries and all groups that serve. Those who wait are
    let in by rank: new callers first, then by priority, then by arrival.
    """

    def __init__(self, capacity: GroupCapacityTracker, rng: random.Random) -> None:
        self.capacity = capacity
        self.rng = rng
        self.retry_detector = ClientRetryDetector()
        self.queue: list[WaitingPlace] = []

    def report(self) -> RunningReport:
        """Return what the other entries are told."""
        now = anyio.current_time()
        each = {
            str(group): round(seconds, 6)
            for group, meter in self.capacity.meters.items()
            if (seconds := meter.request_cost(now)) is not None
        }
        return RunningReport(
            {
                name: state.running
                for name, state in self.capacity.book.states.items()
                if state.running
            },
            each,
        )

    async def admit(self, request: DirectRequest) -> set[GroupId]:
        """Return to which groups the request may go now, or raise RequestError."""
        is_client_retry = self.retry_detector.is_client_retry(
            request.route.name, request.caller_timeout
        )
        place = WaitingPlace(
            is_client_retry,
            request.priority,
            request.arrived,
            request.id,
            request.service.name,
        )
        self.queue.append(place)
        try:
            return await self._wait(request, place)
        finally:
            self.queue.remove(place)

    async def _wait(self, request: DirectRequest, place: WaitingPlace) -> set[GroupId]:
        patience = self._max_wait(request)
        while True:
            now = anyio.current_time()
            wait_left = self._wait_deadline(request, place, patience) - now
            rooms = self.capacity.capacities(request, now)
            match self._decide(request, place, rooms, wait_left, now):
                case Start():
                    return self._allowed_groups(rooms)
                case Refuse() as refusal:
                    raise RequestError(
                        refusal.kind, refusal.reason, retry_after=refusal.retry_after
                    )
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def _allowed_groups(self, rooms: GroupCapacities) -> set[GroupId]:
        """
        Return the groups that a request may go to that starts now.

        All with room are one pool, in which the choice of the rank spreads requests
        by free slots. To choose a group first serves callers no better, and an entry
        then opens more connections to ranks.
        """
        return groups_with_capacity(rooms) or set(rooms)

    def _decide(
        self,
        request: DirectRequest,
        place: WaitingPlace,
        rooms: GroupCapacities,
        wait_left: float,
        now: float,
    ) -> Decision:
        room = self._combined_capacity(rooms)
        ahead = sum(other.is_before(place) for other in self.queue)
        room = replace(room, running=room.running + ahead)
        left = request.caller_time_left(now)
        return decide_admission(
            room, place.is_client_retry, wait_left, left, self.rng.random()
        )

    def _combined_capacity(self, rooms: GroupCapacities) -> GroupCapacity:
        return combined_capacity(rooms)

    def _wait_deadline(
        self, request: DirectRequest, place: WaitingPlace, patience: float
    ) -> float:
        """
        Return until when a request may wait for room.

        One that came back may wait for a group that is away, and for room right
        after its return.
        """
        if not place.is_client_retry:
            return request.arrived + patience
        if self.capacity.all_broken(place.service):
            return request.arrived + MAX_CLIENT_RETRY_WAIT_SECONDS
        back_at = self.capacity.last_recovery(place.service)
        return max(request.arrived + patience, back_at + MAX_WAIT_SECONDS)

    def _max_wait(self, request: DirectRequest) -> float:
        """Return how long the request may wait and still meet its aim."""
        now = anyio.current_time()
        seen = self.capacity.shortest_pass(request.service, now) or 0.0
        answer = PASSES_TO_FIRST_EVENT * seen
        return min(max(request.route.slo - answer, 0.0), MAX_WAIT_SECONDS)
