"""
How many requests a lock-step group may run at once.

It answers a lasting load above what the group can do in time. The more
requests run, the longer each pass takes, and past the routes' longest pause
every stream of the group is late at once. So the number is held where the
predicted pass stays under that pause with a margin. The pass is predicted as a
fixed part, known from the engine's figures, and a part in proportion to what
runs, learned from the passes seen; skew of the experts and slow ranks are in
what was seen.
"""

from briarthread_common.direct.engine_profile import EngineProfile

MIN_REQUEST_COST_SECONDS = 1e-6
MAX_PASS_FRACTION = 0.8
"""Part of the longest pause that a predicted pass may take. Single passes are
longer than the mean by the prompts read in them; one such pass is enough to
make a stream late."""
INITIAL_SKEW = 2.0
"""How much more than its even part the busiest rank is taken to do before
anything was seen: experts placed by demand leave 1.2, in turn some 3."""
MIN_SLOTS_FRACTION = 0.4
"""Part of the slots that is always given out, whatever was seen: a group in
trouble must show by running work that it is over."""


def max_concurrency(
    ranks: int, engine: EngineProfile, longest_pause: float, each: float | None
) -> int:
    """
    Return how many requests a group may run at once.

    ``each`` is what a running request adds to a pass in seconds, ``None``
    where nothing was seen.

    >>> engine = EngineProfile(6, 0.006, 0.0007, 0.0, 60e3, 0.0, 512, 5)
    >>> max_concurrency(12, engine, 0.12, 0.0015)
    44
    >>> max_concurrency(12, engine, 0.12, 0.0005)
    72
    """
    slots = ranks * engine.slots
    if each is None or longest_pause <= 0:
        return slots
    fixed = engine.steps_per_pass * engine.step_seconds
    fitting = (longest_pause * MAX_PASS_FRACTION - fixed) / max(
        each, MIN_REQUEST_COST_SECONDS
    )
    return int(min(max(fitting, slots * MIN_SLOTS_FRACTION), slots))


def initial_request_cost(engine: EngineProfile, ranks: int) -> float:
    """
    Return what a running request adds to a pass, in seconds, as a first guess.

    >>> engine = EngineProfile(6, 0.006, 0.0007, 0.0, 60e3, 0.0, 512, 5)
    >>> round(initial_request_cost(engine, 10), 5)
    0.0007
    """
    return engine.steps_per_pass * engine.decode_seconds * INITIAL_SKEW / ranks
