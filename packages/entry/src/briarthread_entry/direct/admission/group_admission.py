"""Admission of requests to the groups of a service."""

import random
from dataclasses import replace

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.running_report import RunningReport
from briarthread_entry.direct.admission.admission_rule import (
    Decision,
    GroupCapacity,
    Refuse,
    Start,
    decide_admission,
    retry_after_refusal,
)
from briarthread_entry.direct.admission.urgency_rule import (
    UrgencyClaim,
    decide_by_urgency,
)
from briarthread_entry.direct.admission.urgency_tracker import UrgencyTracker
from briarthread_entry.direct.admission.waiting_place import WaitingPlace, request_rank
from briarthread_entry.direct.groups.group_capacity import (
    GroupCapacities,
    GroupCapacityTracker,
    combined_capacity,
    groups_with_capacity,
)
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.retries.client_retry_detector import ClientRetryDetector

POLL_INTERVAL_SECONDS = 0.02
"""Interval at which a waiting request checks for capacity, a fraction of a pass."""
MAX_WAIT_SECONDS = 0.2
"""Longest wait for capacity: after a longer wait the first event would miss the route's
SLO even if capacity became free."""
MAX_CLIENT_RETRY_WAIT_SECONDS = 1.8
"""Longest wait of a client retry. It is late already, so that only the caller's timeout
limits it: callers abandon a stream after two seconds without an event."""
PASSES_TO_FIRST_EVENT = 2.0
"""Passes from the start to the first event: the current one and the request's own."""


class GroupAdmission:
    """
    Admit requests to the groups that the ranks of a service form.

    Capacity is counted over all entries and all serving groups. Waiting requests are
    admitted in order: new requests before client retries, then by priority, then by
    time of arrival. If the routes of a service differ in priority, its requests are
    admitted by rank, and ``urgency`` holds back the less urgent ones.
    """

    def __init__(
        self,
        capacity: GroupCapacityTracker,
        urgency: UrgencyTracker,
        rng: random.Random,
    ) -> None:
        self.capacity = capacity
        self.urgency = urgency
        self.rng = rng
        self.retry_detector = ClientRetryDetector()
        self.queue: list[WaitingPlace] = []

    def report(self) -> RunningReport:
        """Return the running report of this entry for the other entries."""
        now = anyio.current_time()
        request_costs = {
            str(group): round(seconds, 6)
            for group, meter in self.capacity.meters.items()
            if (seconds := meter.request_cost(now)) is not None
        }
        return RunningReport(
            {
                name: state.running
                for name, state in self.capacity.registry.states.items()
                if state.running
            },
            request_costs,
            demand=self.urgency.arrivals.rates(now),
        )

    async def admit(self, request: DirectRequest) -> set[GroupId]:
        """
        Wait for capacity and return the groups that a request may go to.

        Raise RequestError if the request is refused.
        """
        is_client_retry = self.retry_detector.is_client_retry(
            request.route.name, request.caller_timeout
        )
        has_priorities = request.service.has_priorities
        place = WaitingPlace(
            request_rank(request.priority, is_client_retry) if has_priorities else 0,
            is_client_retry,
            request.priority,
            request.arrived,
            request.id,
            request.service.name,
        )
        claim = None
        if has_priorities:
            now = anyio.current_time()
            claim = self.urgency.note_arrival(request, place, now)
        self.queue.append(place)
        try:
            return await self._wait(request, place, claim)
        finally:
            self.queue.remove(place)

    def note_served(self, request: DirectRequest) -> None:
        """Record that a request was served completely."""
        if request.service.has_priorities:
            seconds = anyio.current_time() - request.arrived
            self.urgency.note_served(request.service.name, seconds)

    async def _wait(
        self, request: DirectRequest, place: WaitingPlace, claim: UrgencyClaim | None
    ) -> set[GroupId]:
        max_wait = self._max_wait(request)
        waited = False
        while True:
            now = anyio.current_time()
            wait_left = self._wait_deadline(request, place, max_wait) - now
            capacities = self.capacity.capacities(request, now)
            if not capacities and self.capacity.registry.evacuations.data_centres:
                raise self._evacuated_error(request, now)
            decision = self._decide(request, place, claim, capacities, wait_left, now)
            if claim is not None:
                self.urgency.note_decision(place, claim, decision, waited, now)
            match decision:
                case Start():
                    return self._allowed_groups(capacities)
                case Refuse() as refusal:
                    raise RequestError(
                        refusal.kind, refusal.reason, retry_after=refusal.retry_after
                    )
            waited = True
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def _evacuated_error(self, request: DirectRequest, now: float) -> RequestError:
        """
        Return the error for a request without a rank outside evacuated data centres.

        Waiting is useless, since evacuations last for minutes.
        """
        pause = retry_after_refusal(
            ErrorKind.NO_TARGET, request.caller_time_left(now), self.rng.random()
        )
        reason = f"no rank of {request.service.name} outside evacuated data centres"
        return RequestError(ErrorKind.NO_TARGET, reason, retry_after=pause)

    def _allowed_groups(self, capacities: GroupCapacities) -> set[GroupId]:
        """
        Return the groups that a request that starts now may go to.

        All groups with capacity form one pool, in which the choice of the rank spreads
        requests by free slots. Choosing a group first does not serve callers better,
        and an entry then opens more connections to ranks.
        """
        return groups_with_capacity(capacities) or set(capacities)

    def _decide(
        self,
        request: DirectRequest,
        place: WaitingPlace,
        claim: UrgencyClaim | None,
        capacities: GroupCapacities,
        wait_left: float,
        now: float,
    ) -> Decision:
        capacity = self._combined_capacity(capacities)
        ahead = sum(other.is_before(place) for other in self.queue)
        capacity = replace(capacity, running=capacity.running + ahead)
        time_left = request.caller_time_left(now)
        jitter = self.rng.random()
        if claim is None:
            return decide_admission(
                capacity, place.is_client_retry, wait_left, time_left, jitter
            )
        load = self.urgency.load(place, now)
        return decide_by_urgency(capacity, load, claim, wait_left, time_left, jitter)

    def _combined_capacity(self, capacities: GroupCapacities) -> GroupCapacity:
        return combined_capacity(capacities)

    def _wait_deadline(
        self, request: DirectRequest, place: WaitingPlace, max_wait: float
    ) -> float:
        """
        Return the time until which a request may wait for capacity.

        A client retry may wait for a group that is not serving, and for capacity right
        after the group's recovery.
        """
        if not place.is_client_retry:
            return request.arrived + max_wait
        if self.capacity.all_broken(place.service):
            return request.arrived + MAX_CLIENT_RETRY_WAIT_SECONDS
        recovered_at = self.capacity.last_recovery(place.service)
        return max(request.arrived + max_wait, recovered_at + MAX_WAIT_SECONDS)

    def _max_wait(self, request: DirectRequest) -> float:
        """Return the seconds that a request may wait and still meet the route's SLO."""
        now = anyio.current_time()
        pass_seconds = self.capacity.shortest_pass(request.service, now) or 0.0
        first_event_seconds = PASSES_TO_FIRST_EVENT * pass_seconds
        return min(max(request.route.slo - first_event_seconds, 0.0), MAX_WAIT_SECONDS)
