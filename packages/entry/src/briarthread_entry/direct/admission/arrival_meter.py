"""Rates of arriving requests by service and rank."""

import math

RATE_WINDOW_SECONDS = 0.8
"""Time constant of the decaying rates.

After a second, 29 % of the former rate is left, so that a reserve for urgent requests
follows their demand within about a second in both directions.
"""
RATE_DIGITS = 1
"""Decimal places of a rate per second: more of them only lengthen the reports."""


class ArrivalMeter:
    """
    Measure the requests per second of each service and rank.

    The rank of a new request is its priority, that of a client retry one more.

    An arrival adds the inverse of the window to the rate, which decays exponentially.
    The rates of an entry are noisy, their sum over many entries is not.

    >>> meter = ArrivalMeter()
    >>> meter.note("model", 0, now=1.0)
    >>> meter.rates(now=1.0), meter.rates(now=1.5), meter.rates(now=9.0)
    ({'model': {0: 1.2}}, {'model': {0: 0.7}}, {})
    """

    def __init__(self) -> None:
        self.known: dict[str, dict[int, tuple[float, float]]] = {}

    def note(self, service: str, rank: int, now: float) -> None:
        """Record the arrival of a request."""
        known = self.known.setdefault(service, {})
        rate, noted_at = known.get(rank, (0.0, now))
        rate = _decay(rate, now - noted_at) + 1 / RATE_WINDOW_SECONDS
        known[rank] = (rate, now)

    def rates_of(self, service: str, now: float) -> dict[int, float]:
        """Return the rounded rates of a service by rank, without those of zero."""
        return {
            rank: rounded
            for rank, (rate, noted_at) in self.known.get(service, {}).items()
            if (rounded := round(_decay(rate, now - noted_at), RATE_DIGITS))
        }

    def rates(self, now: float) -> dict[str, dict[int, float]]:
        """Return the rates of all services, without services that have no demand."""
        return {
            service: rates
            for service in self.known
            if (rates := self.rates_of(service, now))
        }


def _decay(rate: float, seconds: float) -> float:
    return rate * math.exp(-seconds / RATE_WINDOW_SECONDS)
