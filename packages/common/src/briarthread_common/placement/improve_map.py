"""Incremental improvement of a placement under a bound on experts loaded."""

from collections.abc import Iterator, Sequence

from briarthread_common.messages.expert_map import ExpertMap
from briarthread_common.placement.layer_plan import LayerPlan
from briarthread_common.placement.layer_step import (
    PlacementStep,
    SwapReplicas,
    load_count,
)
from briarthread_common.placement.rank_loads import Layer
from briarthread_common.placement.step_search import StepSearch

MIN_STEP_GAIN = 0.002
"""Minimum reduction of the slowest rank's load by a step, as a fraction of the mean
load."""
MAX_FREE_STEPS = 200
"""Maximum number of steps that load nothing, so that a search always ends."""


def improve_map(
    version: int,
    present: ExpertMap,
    counts: list[list[float]],
    slots: int,
    max_loads: int,
) -> ExpertMap:
    """
    Return an improved map for which ranks load at most ``max_loads`` experts.

    The layers are improved in order. In each, load is taken off the slowest
    rank as long as a step gains more than ``MIN_STEP_GAIN``.
    """
    left = max_loads
    layers = []
    for layer, layer_counts in zip(present.layers, counts, strict=True):
        better, used = improve_layer(layer, layer_counts, slots, left)
        left -= used
        layers.append(better)
    return ExpertMap(version, layers)


def improve_layer(
    layer: Layer,
    counts: list[float],
    slots: int,
    max_loads: int,
) -> tuple[Layer, int]:
    """Return an improved layer and the number of experts to load for it."""
    better, used = layer, 0
    for step in improve_steps(layer, counts, slots, max_loads):
        better, used = step
    return better, used


def improve_steps(
    layer: Layer,
    counts: list[float],
    slots: int,
    max_loads: int,
    max_rank_loads: int | None = None,
    slowdown: Sequence[float] = (),
) -> Iterator[tuple[Layer, int]]:
    """
    Yield successively better layers and the number of experts loaded so far.

    ``max_rank_loads`` bounds the experts that a single rank loads, for engines
    with such a limit. ``slowdown`` is the factor by which each rank takes longer
    for a token; by default all ranks take the same time.

    >>> slow = improve_steps([[0, 1], [2, 3]], [9.0, 9.0, 9.0, 9.0], 3, 9,
    ...     slowdown=[1.0, 3.0])
    >>> list(slow)
    [([[0, 1, 2], [3]], 1)]
    """
    plan = LayerPlan(layer, counts, slowdown or [1.0] * len(layer))
    loads_left = [max_loads if max_rank_loads is None else max_rank_loads] * len(layer)
    min_gain = MIN_STEP_GAIN * sum(counts) / len(layer)
    used = 0
    for _ in range(max_loads + MAX_FREE_STEPS):
        found = StepSearch(plan, slots, loads_left).best()
        if found is None or found[0] <= min_gain:
            return
        step = found[1]
        if used + load_count(step) > max_loads:
            return
        plan.apply(step)
        used += load_count(step)
        _count_loads(step, loads_left)
        yield plan.snapshot(), used


def _count_loads(step: PlacementStep, loads_left: list[int]) -> None:
    if load_count(step):
        loads_left[step.rank] -= 1
    if isinstance(step, SwapReplicas):
        loads_left[step.source] -= 1
