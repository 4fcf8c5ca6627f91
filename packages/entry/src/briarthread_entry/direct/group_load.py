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

from dataclasses import dataclass

from briarthread_common.direct.engine_figures import EngineFigures

PASS_SHARE = 0.8
"""Part of the longest pause that a predicted pass may take. Single passes are
longer than the mean by the prompts read in them; one such pass is enough to
make a stream late."""
LEAST_SHARE = 0.4
"""Part of the slots that is always given out, whatever was seen: a group in
trouble must show by running work that it is over."""
FEW = 8
"""Running requests under which what was seen says little about a full group."""


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """
    State a group's load: ``running`` counts over all entries.

    ``pass_seconds`` is the mean pass now, ``None`` where none was seen.
    """

    ranks: int
    running: int
    pass_seconds: float | None


def most_running(load: GroupLoad, engine: EngineFigures, longest_pause: float) -> int:
    """
    Return how many requests the group may run at once.

    >>> engine = EngineFigures(6, 0.006, 0.0007, 0.0, 60e3, 0.0, 512, 5)
    >>> most_running(GroupLoad(12, 60, 0.13), engine, 0.12)
    39
    >>> most_running(GroupLoad(12, 60, 0.06), engine, 0.12)
    72
    """
    slots = load.ranks * engine.slots
    if load.pass_seconds is None or load.running < FEW or longest_pause <= 0:
        return slots
    fixed = engine.stride * engine.step_seconds
    each = max(load.pass_seconds - fixed, 0.001) / load.running
    fitting = (longest_pause * PASS_SHARE - fixed) / each
    return int(min(max(fitting, slots * LEAST_SHARE), slots))
