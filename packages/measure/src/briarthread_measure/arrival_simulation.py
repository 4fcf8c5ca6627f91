"""Arrivals at many entries before one group, drawn and played without a network."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_entry.direct.assigned_slots import assign_slots
from briarthread_entry.direct.choose_target import RunningElsewhere
from briarthread_entry.direct.target_state import DirectTargetState

STREAM_SECONDS = 1.6
SETTLED, SECONDS = 5.0, 15.0
"""From when on arrivals are counted, and until when they come, s."""
DATA_CENTRES = ("palermo", "catania", "messina")
UNEVEN = 0.5
"""Spread of callers over entries, as the deviation of a log-normal weight."""

RankPolicy = Callable[
    [Sequence[DirectTargetState], RunningElsewhere, Mapping[str, int], random.Random],
    DirectTargetState,
]
"""Takes an entry's states, what others have there and its own slots."""


@dataclass(frozen=True, slots=True)
class ArrivalLoad:
    """Arrivals a second before ranks, and the age of what entries know, s."""

    entries: int
    ranks: int
    slots: int
    rate: float
    report_age: float


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """What ran at a moment: at each rank, and of it from each entry."""

    at: float
    running: list[int]
    own: list[list[int]]


@dataclass
class ArrivalSimulation:
    """Play arrivals that each entry sends where ``choose`` says."""

    load: ArrivalLoad
    seed: int
    choose: RankPolicy
    ends: list[tuple[float, int, int]] = field(default_factory=list)
    seen: deque[LoadSnapshot] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        load = self.load
        ranks = [
            DirectTarget(f"r{n}", "model", "", DATA_CENTRES[n % 3], load.slots, False)
            for n in range(load.ranks)
        ]
        rows = [
            Instance(f"e{n}", DATA_CENTRES[n % 3], "", InstanceRole.ENTRY)
            for n in range(load.entries)
        ]
        self.states = [[DirectTargetState(rank) for rank in ranks] for _ in rows]
        self.home = [assign_slots(row.name, rows, ranks) for row in rows]
        self.running = [0] * load.ranks
        self.weights = [self.rng.lognormvariate(0, UNEVEN) for _ in rows]

    def full_rank_share(self) -> float:
        """Return the part of arrivals that have to wait for a slot."""
        now, met, asked = 0.0, 0, 0
        while now < SECONDS:
            now += self.rng.expovariate(self.load.rate)
            self._end_streams(now)
            self._look(now)
            entry = self.rng.choices(range(self.load.entries), self.weights)[0]
            rank = self._choose(entry)
            if now > SETTLED:
                asked += 1
                met += self.running[rank] >= self.load.slots
            self._start(entry, rank, now)
        return met / asked

    def _look(self, now: float) -> None:
        own = [[state.running for state in states] for states in self.states]
        self.seen.append(LoadSnapshot(now, list(self.running), own))
        while len(self.seen) > 1 and self.seen[1].at <= now - self.load.report_age:
            self.seen.popleft()

    def _choose(self, entry: int) -> int:
        seen = self.seen[0]
        others = {
            f"r{n}": seen.running[n] - seen.own[entry][n]
            for n in range(self.load.ranks)
        }
        states = self.states[entry]
        found = self.choose(states, others.__getitem__, self.home[entry], self.rng)
        return states.index(found)

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
