"""The way into the groups of a service's ranks."""

import random
from dataclasses import replace

import anyio

from briarthread_common.core.exceptions import RequestError
from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.running_report import RunningReport
from briarthread_entry.direct.admission_rule import (
    Decision,
    GroupRoom,
    Refuse,
    Start,
    decide,
)
from briarthread_entry.direct.client_retry_detector import ClientRetryDetector
from briarthread_entry.direct.direct_request import DirectRequest
from briarthread_entry.direct.group_rooms import GroupRooms, Rooms, joined, open_of
from briarthread_entry.direct.waiting_place import WaitingPlace

LOOK_SECONDS = 0.02
"""How often a waiting request looks for room: a part of a pass."""
LONGEST_WAIT = 0.2
"""Longest wait for room, s. A wait costs the caller its aim; more than this
and the first event would come late even if room were found."""
LAST_WAIT = 1.8
"""Longest wait of a caller who came back, s. It is late already, so that only
its patience counts: callers leave a stream after two seconds without an event."""
PASSES_TO_ANSWER = 2.0
"""Passes from the start to the first event: the one under way, and its own."""


class GroupGate:
    """
    Admit requests to the groups that the ranks of a service form.

    Room is counted over all entries and all groups that serve. Those who wait are
    let in by rank: new callers first, then by priority, then by arrival.
    """

    def __init__(self, rooms: GroupRooms, rng: random.Random) -> None:
        self.rooms = rooms
        self.rng = rng
        self.returns = ClientRetryDetector()
        self.waiting: list[WaitingPlace] = []

    def report(self) -> RunningReport:
        """Return what the other entries are told."""
        now = anyio.current_time()
        each = {
            str(group): round(seconds, 6)
            for group, meter in self.rooms.meters.items()
            if (seconds := meter.each(now)) is not None
        }
        return RunningReport(
            {
                name: state.running
                for name, state in self.rooms.book.states.items()
                if state.running
            },
            each,
        )

    async def enter(self, request: DirectRequest) -> set[GroupId]:
        """Return to which groups the request may go now, or raise RequestError."""
        returning = self.returns.is_client_retry(request.route.name, request.patience)
        place = WaitingPlace(
            returning,
            request.priority,
            request.arrived,
            request.id,
            request.service.name,
        )
        self.waiting.append(place)
        try:
            return await self._wait(request, place)
        finally:
            self.waiting.remove(place)

    async def _wait(self, request: DirectRequest, place: WaitingPlace) -> set[GroupId]:
        patience = self._patience(request)
        while True:
            now = anyio.current_time()
            wait_left = self._wait_until(request, place, patience) - now
            rooms = self.rooms.rooms(request, now)
            match self._decide(request, place, rooms, wait_left, now):
                case Start():
                    return self._choose(rooms)
                case Refuse() as refusal:
                    raise RequestError(
                        refusal.kind, refusal.reason, retry_after=refusal.retry_after
                    )
            await anyio.sleep(LOOK_SECONDS)

    def _choose(self, rooms: Rooms) -> set[GroupId]:
        """
        Return the groups that a request may go to that starts now.

        All with room are one pool, in which the choice of the rank spreads requests
        by free slots. To choose a group first serves callers no better, and an entry
        then opens more connections to ranks.
        """
        return open_of(rooms) or set(rooms)

    def _decide(
        self,
        request: DirectRequest,
        place: WaitingPlace,
        rooms: Rooms,
        wait_left: float,
        now: float,
    ) -> Decision:
        room = self._room(rooms)
        ahead = sum(other.is_before(place) for other in self.waiting)
        room = replace(room, running=room.running + ahead)
        left = request.caller_left(now)
        return decide(room, place.returning, wait_left, left, self.rng.random())

    def _room(self, rooms: Rooms) -> GroupRoom:
        return joined(rooms)

    def _wait_until(
        self, request: DirectRequest, place: WaitingPlace, patience: float
    ) -> float:
        """
        Return until when a request may wait for room.

        One that came back may wait for a group that is away, and for room right
        after its return.
        """
        if not place.returning:
            return request.arrived + patience
        if self.rooms.away(place.service):
            return request.arrived + LAST_WAIT
        back_at = self.rooms.back_at(place.service)
        return max(request.arrived + patience, back_at + LONGEST_WAIT)

    def _patience(self, request: DirectRequest) -> float:
        """Return how long the request may wait and still meet its aim."""
        now = anyio.current_time()
        seen = self.rooms.shortest_pass(request.service, now) or 0.0
        answer = PASSES_TO_ANSWER * seen
        return min(max(request.route.slo - answer, 0.0), LONGEST_WAIT)
