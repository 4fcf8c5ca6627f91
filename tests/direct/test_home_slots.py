"""
Who meets a full rank, where many entries choose ranks at the same time.

Arrivals are drawn, each entry's decision is the real one, and what it knows of
the others is as old as reports are. The baseline takes the least loaded rank.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from direct_builders import build_target

from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_entry.direct.choose_target import choose_rank
from briarthread_entry.direct.home_slots import own_slots
from briarthread_entry.direct.target_state import DirectTargetState

STREAM_SECONDS = 1.6
SETTLED = 5.0
SECONDS = 15.0
CENTRES = ("palermo", "catania", "messina")


@dataclass(frozen=True, slots=True)
class Load:
    """Arrivals a second before ranks, and the age of what entries know."""

    entries: int
    ranks: int
    slots: int
    rate: float
    age: float


@dataclass
class DrawnDay:
    """Play arrivals at entries; ``choose`` is given an entry's number."""

    load: Load
    seed: int
    ends: list[tuple[float, int, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        load = self.load
        ranks = [
            build_target(f"r{n}", slots=load.slots, data_centre=CENTRES[n % 3])
            for n in range(load.ranks)
        ]
        rows = [
            Instance(f"e{n}", CENTRES[n % 3], "", InstanceRole.ENTRY)
            for n in range(load.entries)
        ]
        self.states = [[DirectTargetState(rank) for rank in ranks] for _ in rows]
        self.home = [own_slots(row.name, rows, ranks) for row in rows]
        self.running = [0] * load.ranks
        self.weights = [self.rng.lognormvariate(0, 0.5) for _ in rows]

    def share_that_meets_a_full_rank(self, with_home: bool) -> float:
        """Return the part of arrivals that have to wait for a slot."""
        seen: deque[tuple[float, list[int], list[list[int]]]] = deque()
        now, met, asked = 0.0, 0, 0
        while now < SECONDS:
            now += self.rng.expovariate(self.load.rate)
            self._end_streams(now)
            self._look(seen, now)
            entry = self.rng.choices(range(self.load.entries), self.weights)[0]
            rank = self._choose(entry, seen[0], with_home)
            if now > SETTLED:
                asked += 1
                met += self.running[rank] >= self.load.slots
            self._start(entry, rank, now)
        return met / asked

    def _look(self, seen: deque, now: float) -> None:
        own = [[state.running for state in states] for states in self.states]
        seen.append((now, list(self.running), own))
        while len(seen) > 1 and seen[1][0] <= now - self.load.age:
            seen.popleft()

    def _choose(self, entry: int, seen: tuple, with_home: bool) -> int:
        _, all_running, own = seen
        others = {
            f"r{n}": all_running[n] - own[entry][n] for n in range(self.load.ranks)
        }
        elsewhere: Callable[[str], int] = others.__getitem__
        states = self.states[entry]
        if with_home:
            found = choose_rank(states, elsewhere, self.home[entry], 0.0, self.rng)
        else:
            found = self._least_loaded(states, elsewhere)
        return states.index(found)

    def _least_loaded(
        self, states: list[DirectTargetState], elsewhere: Callable[[str], int]
    ) -> DirectTargetState:
        loads = [state.running + elsewhere(state.target.name) for state in states]
        least = min(loads)
        return self.rng.choice(
            [s for s, load in zip(states, loads, strict=True) if load == least]
        )

    def _start(self, entry: int, rank: int, now: float) -> None:
        self.running[rank] += 1
        self.states[entry][rank].running += 1
        seconds = STREAM_SECONDS * self.rng.uniform(0.8, 1.2)
        heapq.heappush(self.ends, (now + seconds, entry, rank))

    def _end_streams(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            _, entry, rank = heapq.heappop(self.ends)
            self.running[rank] -= 1
            self.states[entry][rank].running -= 1


LOADS = [
    Load(entries=9, ranks=12, slots=6, rate=30.0, age=0.1),
    Load(entries=46, ranks=63, slots=5, rate=120.0, age=0.35),
    Load(entries=99, ranks=129, slots=3, rate=150.0, age=0.35),
]


@pytest.mark.parametrize("load", LOADS)
def test_far_fewer_meet_a_full_rank_than_at_the_least_loaded(load: Load) -> None:
    ours = DrawnDay(load, seed=3).share_that_meets_a_full_rank(with_home=True)
    least = DrawnDay(load, seed=3).share_that_meets_a_full_rank(with_home=False)
    assert ours <= 0.75 * least


def test_every_slot_is_one_entrys_own() -> None:
    rows = [Instance(f"e{n}", CENTRES[n % 2], "", InstanceRole.ENTRY) for n in range(7)]
    ranks = [build_target(f"r{n}", data_centre=CENTRES[n % 3]) for n in range(9)]
    dealt = [own_slots(row.name, rows, ranks) for row in rows]
    for rank in ranks:
        assert sum(own.get(rank.name, 0) for own in dealt) == rank.slots


def test_entry_that_is_not_listed_owns_nothing_and_chooses_all_the_same() -> None:
    ranks = [build_target(f"r{n}") for n in range(3)]
    assert own_slots("new", [], ranks) == {}
    states = [DirectTargetState(rank) for rank in ranks]
    states[1].running = 6
    chosen = {
        choose_rank(states, lambda _: 0, {}, 0.0, random.Random(seed)).target.name
        for seed in range(20)
    }
    assert chosen == {"r0", "r2"}
