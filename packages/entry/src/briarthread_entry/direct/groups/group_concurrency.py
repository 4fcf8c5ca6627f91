"""
Concurrency limit of a lock-step group.

It handles a lasting load above the group's capacity. The more requests run, the
longer each pass takes, and once passes exceed the longest pause that a route allows,
every stream of the group is late at the same time. The limit keeps the predicted
pass below that pause with a margin. The predicted pass consists of a fixed part,
known from the engine's figures, and a part proportional to the running requests,
learned from observed passes. The observations include the effects of expert skew and
slow ranks.
"""

from briarthread_common.direct.engine_profile import EngineProfile

MIN_REQUEST_COST_SECONDS = 1e-6
"""Lower bound of the request cost, which avoids a division by zero."""
MAX_PASS_FRACTION = 0.8
"""Fraction of the longest pause that a predicted pass may take.

Single passes are longer than the mean by the prompts read in them, and one such pass
is enough to make a stream late.
"""
MAX_PEAK_PASS_FRACTION = 0.87
"""Fraction of the longest pause that a pass predicted from the peak request cost may
take. The peak already includes most of what single passes exceed the mean by."""
INITIAL_SKEW = 2.0
"""Assumed load of the busiest rank, relative to an even share, before any observation:
it is 1.2 with experts placed by demand and about 3 with experts placed in turn."""
MIN_SLOTS_FRACTION = 0.4
"""Fraction of the slots that is always available: a group in trouble has to run
requests for its recovery to be observed."""


def max_concurrency(
    ranks: int,
    engine: EngineProfile,
    longest_pause: float,
    request_cost: float | None,
    pass_fraction: float = MAX_PASS_FRACTION,
) -> int:
    """
    Return how many requests a group may run at once.

    ``request_cost`` is the number of seconds that a running request adds to a pass,
    ``None`` if nothing was observed. ``pass_fraction`` is the fraction of the longest
    pause that the predicted pass may take.

    >>> engine = EngineProfile(6, 0.006, 0.0007, 0.0, 60e3, 0.0, 512, 5)
    >>> max_concurrency(12, engine, 0.12, 0.0015)
    44
    >>> max_concurrency(12, engine, 0.12, 0.0005)
    72
    """
    slots = ranks * engine.slots
    if request_cost is None or longest_pause <= 0:
        return slots
    fixed_seconds = engine.steps_per_pass * engine.step_seconds
    fitting_requests = (longest_pause * pass_fraction - fixed_seconds) / max(
        request_cost, MIN_REQUEST_COST_SECONDS
    )
    return int(min(max(fitting_requests, slots * MIN_SLOTS_FRACTION), slots))


def initial_request_cost(engine: EngineProfile, ranks: int) -> float:
    """
    Return an initial estimate of the seconds that a running request adds to a pass.

    >>> engine = EngineProfile(6, 0.006, 0.0007, 0.0, 60e3, 0.0, 512, 5)
    >>> round(initial_request_cost(engine, 10), 5)
    0.0007
    """
    return engine.steps_per_pass * engine.decode_seconds * INITIAL_SKEW / ranks
