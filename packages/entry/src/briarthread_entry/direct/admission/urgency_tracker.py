"""What an entry knows of the urgency of the load on its services."""

import random

from loguru import logger

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.metrics import Metrics
from briarthread_common.utils.decaying_mean import DecayingMean
from briarthread_entry.direct.admission.admission_rule import Decision, Refuse, Start
from briarthread_entry.direct.admission.arrival_meter import ArrivalMeter
from briarthread_entry.direct.admission.unreserved_shares import UnreservedShares
from briarthread_entry.direct.admission.urgency_rule import (
    UrgencyClaim,
    UrgencyLoad,
    build_urgency_load,
)
from briarthread_entry.direct.admission.waiting_place import WaitingPlace
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_entry.direct.requests.direct_request import DirectRequest

DURATION_WEIGHT = 0.2
"""Weight of one duration in the mean, which then covers about five requests."""
CALM_SECONDS = 2.0
"""Time without a refusal after which an overload is logged as ended. Each overload
writes two lines, however many requests are refused in it."""


class UrgencyTracker:
    """
    Measure the demand by rank and the durations of requests.

    It is used only for services whose routes differ in priority.
    """

    def __init__(
        self, peer_reports: PeerReports, metrics: Metrics, rng: random.Random
    ) -> None:
        self.peer_reports = peer_reports
        self.metrics = metrics
        self.arrivals = ArrivalMeter()
        self.rng = rng
        self.shares = UnreservedShares(rng)
        self.durations: dict[str, DecayingMean] = {}
        self.last_refusals: dict[str, float] = {}

    def note_arrival(
        self, request: DirectRequest, place: WaitingPlace, now: float
    ) -> UrgencyClaim:
        """Record a request that arrives and return its claim to capacity."""
        self.arrivals.note(place.service, place.rank, now)
        self._note_calm(place.service, now)
        return UrgencyClaim(
            not place.is_client_retry
            and self.shares.choose(request.account, request.priority),
            self.rng.random(),
            place.is_client_retry,
        )

    def note_served(self, service: str, seconds: float) -> None:
        """Record the duration of a request that was served."""
        mean = self.durations.setdefault(service, DecayingMean(DURATION_WEIGHT))
        mean.add(seconds)

    def load(self, place: WaitingPlace, now: float) -> UrgencyLoad:
        """Return the load that a request competes with."""
        duration = self.durations.get(place.service)
        return build_urgency_load(
            self.demand(place.service, now),
            place.rank,
            None if duration is None else duration.value,
        )

    def demand(self, service: str, now: float) -> dict[int, float]:
        """Return the requests per second of all known entries by rank."""
        demand = self.arrivals.rates_of(service, now)
        for rank, rate in self.peer_reports.demand_elsewhere(service, now).items():
            demand[rank] = demand.get(rank, 0.0) + rate
        return demand

    def note_decision(
        self,
        place: WaitingPlace,
        claim: UrgencyClaim,
        decision: Decision,
        waited: bool,
        now: float,
    ) -> None:
        """Count a decision that ends a request's wait, and log a new overload."""
        match decision:
            case Start():
                reason = "unreserved" if claim.unreserved else "reserve-kept"
                self._count(place, "waited" if waited else "started", reason)
            case Refuse(kind=kind, reason=detail):
                self._count(place, "refused", str(kind))
                if kind is ErrorKind.OVERLOADED:
                    self._note_refusal(place.service, detail, now)

    def _count(self, place: WaitingPlace, decision: str, reason: str) -> None:
        priority = str(place.priority)
        self.metrics.urgency_decisions.labels(priority, decision, reason).inc()

    def _note_refusal(self, service: str, detail: str, now: float) -> None:
        if service not in self.last_refusals:
            rates = self.demand(service, now)
            logger.warning(
                "urgency: {} is overloaded: {}; requests per second by rank: {}",
                service,
                detail,
                {rank: round(rate, 1) for rank, rate in sorted(rates.items())},
            )
        self.last_refusals[service] = now

    def _note_calm(self, service: str, now: float) -> None:
        last_refusal = self.last_refusals.get(service)
        if last_refusal is not None and now - last_refusal > CALM_SECONDS:
            del self.last_refusals[service]
            logger.info("urgency: {} is no longer overloaded", service)
