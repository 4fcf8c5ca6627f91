"""The way into the groups of a service's ranks."""

import random
from collections.abc import Sequence
from dataclasses import replace

import anyio
from loguru import logger

from briarthread_common.core.exceptions import RequestError
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.messages.running_report import RunningReport
from briarthread_entry.direct.admission_rule import (
    Decision,
    GroupRoom,
    Refuse,
    Start,
    decide,
)
from briarthread_entry.direct.direct_request import DirectRequest
from briarthread_entry.direct.group_health import GroupHealth
from briarthread_entry.direct.group_load import most_running, usual_each
from briarthread_entry.direct.pass_meter import PassMeter
from briarthread_entry.direct.return_detector import ReturnDetector
from briarthread_entry.direct.running_board import RunningBoard
from briarthread_entry.direct.slow_ranks import SlowRanks
from briarthread_entry.direct.target_book import TargetBook
from briarthread_entry.direct.target_state import DirectTargetState
from briarthread_entry.direct.waiting_place import WaitingPlace

LOOK_SECONDS = 0.02
"""How often a waiting request looks for room: a part of a pass."""
LONGEST_WAIT = 0.2
"""Longest wait for room, s. A wait costs the caller its aim; more than this
and the first event would come late even if room were found."""
LAST_WAIT = 1.8
"""Longest wait of a caller who came back, s. It is late already, so that only
its patience counts: callers leave a stream after two seconds without an event."""
FLOWING_SECONDS = 0.4
"""Age of the last event of a stream up to which the group serves, whatever an
agent says; its own rank may be leaving the group."""
PASSES_TO_ANSWER = 2.0
"""Passes from the start to the first event: the one under way, and its own."""


class GroupGate:
    """
    Admit requests to the ranks of each service that is a lock-step group.

    Room is counted over all entries. Those who wait are let in by rank:
    new callers first, then by priority, then by arrival.
    """

    def __init__(
        self,
        book: TargetBook,
        board: RunningBoard,
        slow_ranks: SlowRanks,
        rng: random.Random,
    ) -> None:
        self.book = book
        self.board = board
        self.slow_ranks = slow_ranks
        self.rng = rng
        self.meters: dict[str, PassMeter] = {}
        self.healths: dict[str, GroupHealth] = {}
        self.returns = ReturnDetector()
        self.waiting: list[WaitingPlace] = []

    def meter(self, service: DirectService) -> PassMeter:
        """Return the meter of a service's passes."""
        meter = self.meters.get(service.name)
        if meter is None:
            meter = self.meters[service.name] = self._new_meter(service)
        return meter

    def _new_meter(self, service: DirectService) -> PassMeter:
        engine = service.engine
        if engine is None:
            return PassMeter(0.0, 0.0)
        ranks = len(self.book.of_service(service.name, anyio.current_time()))
        usual = usual_each(engine, max(ranks, 1))
        return PassMeter(engine.stride * engine.step_seconds, usual)

    def health(self, service: str) -> GroupHealth:
        """Return the health of a service's group."""
        return self.healths.setdefault(service, GroupHealth())

    def report(self) -> RunningReport:
        """Return what the other entries are told."""
        now = anyio.current_time()
        each = {
            service: round(seconds, 6)
            for service, meter in self.meters.items()
            if (seconds := meter.each(now)) is not None
        }
        return RunningReport(
            {
                name: state.running
                for name, state in self.book.states.items()
                if state.running
            },
            each,
        )

    async def enter(self, request: DirectRequest) -> None:
        """Return when the request may start, or raise RequestError."""
        returning = self.returns.is_return(request.route.name, request.patience)
        place = WaitingPlace(
            returning,
            request.priority,
            request.arrived,
            request.id,
            request.service.name,
        )
        self.waiting.append(place)
        try:
            await self._wait(request, place)
        finally:
            self.waiting.remove(place)

    async def _wait(self, request: DirectRequest, place: WaitingPlace) -> None:
        patience = self._patience(request)
        while True:
            now = anyio.current_time()
            wait_left = self._wait_until(request, place, patience) - now
            match self._decide(request, place, wait_left, now):
                case Start():
                    return
                case Refuse() as refusal:
                    raise RequestError(
                        refusal.kind, refusal.reason, retry_after=refusal.retry_after
                    )
            await anyio.sleep(LOOK_SECONDS)

    def _decide(
        self,
        request: DirectRequest,
        place: WaitingPlace,
        wait_left: float,
        now: float,
    ) -> Decision:
        room = self._room(request, now)
        ahead = sum(other.is_before(place) for other in self.waiting)
        room = replace(room, running=room.running + ahead)
        left = request.caller_left(now)
        return decide(room, place.returning, wait_left, left, self.rng.random())

    def _room(self, request: DirectRequest, now: float) -> GroupRoom:
        service = request.service
        states = self.slow_ranks.usable(service.name, now)
        each = self.meter(service).each(now)
        if each is None:
            each = self.board.each(service.name, now)
        return GroupRoom(
            serving=self._serves(service, now),
            running=self._running(states, now),
            most=most_running(len(states), service.engine, request.route.gap_aim, each),
            back_in=self.health(service.name).expected_back(now),
        )

    def _serves(self, service: DirectService, now: float) -> bool:
        """
        Tell whether a request may go to the group, by all that is known.

        An agent's word may be wrong: its own rank may be leaving the group. So
        it never keeps the probes of a group away that is taken to be broken.
        """
        name, health = service.name, self.health(service.name)
        said = self.slow_ranks.groups.serving(name, now)
        flowing = now - self.meter(service).last_event <= FLOWING_SECONDS
        if said is False and not flowing and not health.broken:
            health.note_broken(now)
            logger.warning("group: {} is not serving, says an agent", name)
        if said is True and health.note_said_serving(now):
            logger.info("group: {} serves again, says an agent", name)
        return health.may_send(now)

    def _running(self, states: Sequence[DirectTargetState], now: float) -> int:
        names = (state.target.name for state in states)
        elsewhere = self.board.elsewhere_at(names, now)
        return elsewhere + sum(state.running for state in states)

    def _wait_until(
        self, request: DirectRequest, place: WaitingPlace, patience: float
    ) -> float:
        """
        Return until when a request may wait for room.

        One that came back may wait for a group that is away, and for room right
        after its return.
        """
        health = self.health(place.service)
        if not place.returning:
            return request.arrived + patience
        if health.broken:
            return request.arrived + LAST_WAIT
        return max(request.arrived + patience, health.back_at + LONGEST_WAIT)

    def _patience(self, request: DirectRequest) -> float:
        """Return how long the request may wait and still meet its aim."""
        now = anyio.current_time()
        seen = self.meter(request.service).seconds(now) or 0.0
        answer = PASSES_TO_ANSWER * seen
        return min(max(request.route.aim - answer, 0.0), LONGEST_WAIT)

    def note_refused(self, service: str, faulty: str) -> None:
        """Record that a rank refused for its group."""
        if self.health(service).note_broken(anyio.current_time()):
            logger.warning("group: {} is not serving: {}", service, faulty)

    def note_event(self, service: DirectService, previous: float | None) -> None:
        """Record an event of one of this entry's streams."""
        now = anyio.current_time()
        states = self.book.of_service(service.name, now)
        self.meter(service).note_event(previous, now, self._running(states, now))
        if self.health(service.name).note_serving(now):
            logger.info("group: {} serves again", service.name)
