"""A better placement at a bounded cost."""

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
"""Part of the mean load that a step must take off the slowest rank."""
MAX_FREE_STEPS = 200
"""Bound on steps that load nothing, so that a search ends in any case."""


def improve_map(
    version: int,
    present: ExpertMap,
    counts: list[list[float]],
    slots: int,
    max_moves: int,
) -> ExpertMap:
    """
    Return the present map with up to ``max_moves`` experts loaded anew.

    Layer by layer it takes load off the slowest rank, as long as that gains.
    """
    left = max_moves
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
    max_moves: int,
) -> tuple[Layer, int]:
    """Return a better layer and the number of experts to load for it."""
    better, used = layer, 0
    for step in improve_steps(layer, counts, slots, max_moves):
        better, used = step
    return better, used


def improve_steps(
    layer: Layer,
    counts: list[float],
    slots: int,
    max_moves: int,
    rank_moves: int | None = None,
    slowdown: Sequence[float] = (),
) -> Iterator[tuple[Layer, int]]:
    """
    Give better layers one after the other, with the experts loaded so far.

    ``rank_moves`` bounds what a single rank loads, where its engine does.
    ``slowdown`` is how many times longer each rank takes for a token; left
    out, all take the same time.

    >>> slow = improve_steps([[0, 1], [2, 3]], [9.0, 9.0, 9.0, 9.0], 3, 9,
    ...     slowdown=[1.0, 3.0])
    >>> list(slow)
    [([[0, 1, 2], [3]], 1)]
    """
    plan = LayerPlan(layer, counts, slowdown or [1.0] * len(layer))
    left = [max_moves if rank_moves is None else rank_moves] * len(layer)
    floor = MIN_STEP_GAIN * sum(counts) / len(layer)
    used = 0
    for _ in range(max_moves + MAX_FREE_STEPS):
        found = StepSearch(plan, slots, left).best()
        if found is None or found[0] <= floor:
            return
        step = found[1]
        if used + load_count(step) > max_moves:
            return
        plan.apply(step)
        used += load_count(step)
        _note_loads(step, left)
        yield plan.snapshot(), used


def _note_loads(step: PlacementStep, left: list[int]) -> None:
    if load_count(step):
        left[step.rank] -= 1
    if isinstance(step, SwapReplicas):
        left[step.source] -= 1
