"""
Compare policies for moving experts over a day of drifting demand, in virtual time.

Usage:
  expert_moves [--seeds=N] [--hours=N]

Options:
  --seeds=N  Number of seeds, one day each [default: 5].
  --hours=N  Length of a day [default: 24].

Popularity is log-normal and follows a random walk, with occasional jumps of a few
experts. Skew is the duration of a step over that of a balanced step. Loading an expert
takes its size divided by the group's share of the weight store's bandwidth.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from docopt import docopt

from briarthread_common.messages.expert_map import ExpertMap, round_robin_map
from briarthread_common.placement.move_rule import MapMove, decide_move
from briarthread_common.placement.place_experts import place_experts
from briarthread_common.placement.popularity import Popularity
from briarthread_common.placement.rank_loads import map_skew, moved_experts
from briarthread_common.text.objective import Objective

RANKS, EXPERTS, SLOTS, LAYERS = 32, 256, 9, 2
MINUTE_SECONDS = 60.0
MINUTES_PER_HOUR = 60
POPULARITY_SIGMA = 0.8
DRIFT_SIGMA_PER_MINUTE = 0.03
JUMP_CHANCE = 0.01
JUMP_EXPERTS = 8
TOKENS_PER_MINUTE = 200_000
EXPERT_BYTES = 44_040_192
STORE_BYTES_PER_SECOND = 500e6
"""Bandwidth of a group at the rate-limited weight store, in bytes per second."""
EXPERT_LOAD_SECONDS = EXPERT_BYTES / STORE_BYTES_PER_SECOND

Policy = Callable[[int, ExpertMap, list[list[float]]], ExpertMap | None]


@dataclass(frozen=True, slots=True)
class PolicyResults:
    """Skew of each minute, experts moved, and map changes of a simulated day."""

    skews: list[float]
    moved: int
    moves: int


class DriftingPopularity:
    """Token counts for each minute, drawn from a drifting expert popularity."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.log_weights = [
            [self.rng.gauss(0, POPULARITY_SIGMA) for _ in range(EXPERTS)]
            for _ in range(LAYERS)
        ]

    def next_minute(self) -> list[list[int]]:
        """Advance by a minute and return the tokens of each expert in it."""
        for layer in self.log_weights:
            for expert in range(EXPERTS):
                layer[expert] = layer[expert] * 0.9995 + self.rng.gauss(
                    0, DRIFT_SIGMA_PER_MINUTE
                )
            if self.rng.random() < JUMP_CHANCE:
                for expert in self.rng.sample(range(EXPERTS), JUMP_EXPERTS):
                    layer[expert] += 1.0
        return [self._tokens(layer) for layer in self.log_weights]

    def _tokens(self, layer: list[float]) -> list[int]:
        weights = [math.exp(value) for value in layer]
        total = sum(weights)
        return [round(TOKENS_PER_MINUTE * weight / total) for weight in weights]


def simulate_day(seed: int, hours: int, policy: Policy) -> PolicyResults:
    """Simulate a day; the policy sees the decayed counts, not the true popularity."""
    demand = DriftingPopularity(seed)
    popularity = Popularity(LAYERS, EXPERTS)
    current = round_robin_map(1, LAYERS, EXPERTS, RANKS)
    skews: list[float] = []
    moved = moves = 0
    for minute in range(hours * MINUTES_PER_HOUR):
        tokens = demand.next_minute()
        skews.append(map_skew(current, tokens))
        popularity.add(minute * MINUTE_SECONDS, tokens)
        new = policy(minute, current, popularity.counts)
        if new is not None:
            moved += moved_experts(current, new)
            moves += 1
            current = new
    return PolicyResults(skews, moved, moves)


def never_move(minute: int, current: ExpertMap, counts: list[list[float]]) -> None:
    """Keep the map."""


def place_every(minutes: int) -> Policy:
    """Return a policy that recomputes the whole placement at a fixed interval."""

    def policy(
        minute: int, current: ExpertMap, counts: list[list[float]]
    ) -> ExpertMap | None:
        if minute % minutes:
            return None
        return place_experts(current.version + 1, counts, RANKS, SLOTS)

    return policy


def apply_move_rule(skew_weight: float, rebalance_weight: float) -> Policy:
    """Return a policy that applies the move rule every five minutes."""
    objective = Objective(skew_weight, rebalance_weight)

    def policy(
        minute: int, current: ExpertMap, counts: list[list[float]]
    ) -> ExpertMap | None:
        if minute % 5:
            return None
        decision = decide_move(
            current.version + 1, current, counts, SLOTS, EXPERT_LOAD_SECONDS, objective
        )
        return decision.expert_map if isinstance(decision, MapMove) else None

    return policy


POLICIES: dict[str, Policy] = {
    "never": never_move,
    "every hour, all anew": place_every(60),
    "every minute, all anew": place_every(1),
    "rule, Caruso 4:1": apply_move_rule(4, 1),
    "rule, Paristokierto 1:4": apply_move_rule(1, 4),
}


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def format_median_range(values: list[float], format_spec: str) -> str:
    """Format the median of some values with their minimum and maximum."""
    low, middle, high = min(values), median(values), max(values)
    return f"{middle:{format_spec}} ({low:{format_spec}}..{high:{format_spec}})"


def main() -> None:
    """Print skew, bytes moved and map changes of each policy: median (min..max)."""
    arguments = docopt(__doc__)
    seeds, hours = int(arguments["--seeds"]), int(arguments["--hours"])
    for name, policy in POLICIES.items():
        days = [simulate_day(seed, hours, policy) for seed in range(seeds)]
        p50 = format_median_range([percentile(day.skews, 0.5) for day in days], ".3f")
        p95 = format_median_range([percentile(day.skews, 0.95) for day in days], ".3f")
        p99 = format_median_range([percentile(day.skews, 0.99) for day in days], ".3f")
        terabytes = [day.moved * EXPERT_BYTES / 1e12 for day in days]
        moves = format_median_range([float(day.moves) for day in days], ".0f")
        print(
            f"{name:24} skew p50 {p50} p95 {p95} p99 {p99} "
            f"TB moved {format_median_range(terabytes, '.3f')} moves {moves}",
            flush=True,
        )


if __name__ == "__main__":
    main()
