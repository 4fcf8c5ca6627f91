"""
Compare when to move experts over a day of drift, in virtual time.

Usage:
  expert_moves [--seeds=N] [--hours=N]

Options:
  --seeds=N  Number of seeds, one day each [default: 5].
  --hours=N  Length of a day [default: 24].

Popularity is log-normal and drifts by a random walk, with a jump of a few
experts now and then. Skew is the time of a step over that of an even one.
Loading an expert takes its bytes over the group's part of the weight store.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from docopt import docopt

from briarthread_common.messages.expert_map import ExpertMap, even_map
from briarthread_common.placement.move_rule import MapMove, decide_move
from briarthread_common.placement.place_experts import place_experts
from briarthread_common.placement.popularity import Popularity
from briarthread_common.placement.rank_loads import map_skew, moved_experts
from briarthread_common.text.objective import Objective

RANKS, EXPERTS, SLOTS, LAYERS = 32, 256, 9, 2
MINUTE = 60.0
HOUR_MINUTES = 60
SPREAD = 0.8
DRIFT = 0.03
JUMP_CHANCE = 0.01
JUMP_EXPERTS = 8
TOKENS = 200_000
EXPERT_BYTES = 44_040_192
STORE_BYTES = 500e6
"""Bytes a second that a group gets of the rate-limited weight store."""
LOAD_SECONDS = EXPERT_BYTES / STORE_BYTES

Policy = Callable[[int, ExpertMap, list[list[float]]], ExpertMap | None]


@dataclass(frozen=True, slots=True)
class PolicyResults:
    """Hold what a policy made of a day."""

    skews: list[float]
    moved: int
    moves: int


class DriftingPopularity:
    """Give token counts by the minute, from a drifting popularity."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.logs = [
            [self.rng.gauss(0, SPREAD) for _ in range(EXPERTS)] for _ in range(LAYERS)
        ]

    def next_minute(self) -> list[list[int]]:
        """Drift for a minute and return the tokens of each expert in it."""
        for layer in self.logs:
            for expert in range(EXPERTS):
                layer[expert] = layer[expert] * 0.9995 + self.rng.gauss(0, DRIFT)
            if self.rng.random() < JUMP_CHANCE:
                for expert in self.rng.sample(range(EXPERTS), JUMP_EXPERTS):
                    layer[expert] += 1.0
        return [self._tokens(layer) for layer in self.logs]

    def _tokens(self, layer: list[float]) -> list[int]:
        weights = [math.exp(value) for value in layer]
        total = sum(weights)
        return [round(TOKENS * weight / total) for weight in weights]


def simulate_day(seed: int, hours: int, policy: Policy) -> PolicyResults:
    """Run a policy over a day; it sees the decayed counts, not the drift."""
    drift = DriftingPopularity(seed)
    popularity = Popularity(LAYERS, EXPERTS)
    present = even_map(1, LAYERS, EXPERTS, RANKS)
    skews: list[float] = []
    moved = moves = 0
    for minute in range(hours * HOUR_MINUTES):
        tokens = drift.next_minute()
        skews.append(map_skew(present, tokens))
        popularity.add(minute * MINUTE, tokens)
        new = policy(minute, present, popularity.counts)
        if new is not None:
            moved += moved_experts(present, new)
            moves += 1
            present = new
    return PolicyResults(skews, moved, moves)


def never(minute: int, present: ExpertMap, counts: list[list[float]]) -> None:
    """Never move."""


def place_every(minutes: int) -> Policy:
    """Place everything anew each so many minutes."""

    def policy(
        minute: int, present: ExpertMap, counts: list[list[float]]
    ) -> ExpertMap | None:
        if minute % minutes:
            return None
        return place_experts(present.version + 1, counts, RANKS, SLOTS)

    return policy


def apply_move_rule(skew_weight: float, rebalance_weight: float) -> Policy:
    """Move by the rule, looking every five minutes."""
    objective = Objective(skew_weight, rebalance_weight)

    def policy(
        minute: int, present: ExpertMap, counts: list[list[float]]
    ) -> ExpertMap | None:
        if minute % 5:
            return None
        decision = decide_move(
            present.version + 1, present, counts, SLOTS, LOAD_SECONDS, objective
        )
        return decision.expert_map if isinstance(decision, MapMove) else None

    return policy


POLICIES: dict[str, Policy] = {
    "never": never,
    "every hour, all anew": place_every(60),
    "every minute, all anew": place_every(1),
    "rule, Caruso 4:1": apply_move_rule(4, 1),
    "rule, Paristokierto 1:4": apply_move_rule(1, 4),
}


def percentile(values: list[float], part: float) -> float:
    """Return the value below which a part of the values lies."""
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def format_median_range(values: list[float], form: str) -> str:
    """Return the median of some values with the least and the largest."""
    low, middle, high = min(values), median(values), max(values)
    return f"{middle:{form}} ({low:{form}}..{high:{form}})"


def main() -> None:
    """Print a line a policy: skew, bytes moved, moves; median (min..max)."""
    arguments = docopt(__doc__)
    seeds, hours = int(arguments["--seeds"]), int(arguments["--hours"])
    for name, policy in POLICIES.items():
        days = [simulate_day(seed, hours, policy) for seed in range(seeds)]
        p50 = format_median_range([percentile(day.skews, 0.5) for day in days], ".3f")
        p95 = format_median_range([percentile(day.skews, 0.95) for day in days], ".3f")
        p99 = format_median_range([percentile(day.skews, 0.99) for day in days], ".3f")
        scaled = [day.moved * EXPERT_BYTES / 1e12 for day in days]
        moves = format_median_range([float(day.moves) for day in days], ".0f")
        print(
            f"{name:24} skew p50 {p50} p95 {p95} p99 {p99} "
            f"TB moved {format_median_range(scaled, '.3f')} moves {moves}",
            flush=True,
        )


if __name__ == "__main__":
    main()
