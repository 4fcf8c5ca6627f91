"""Simulation of random arrivals at many entries of one group, without a network."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_entry.direct.groups.assigned_slots import assign_slots
from briarthread_entry.direct.routing.choose_target import RunningElsewhere
from briarthread_entry.direct.targets.target_state import DirectTargetState

STREAM_SECONDS = 1.6
WARMUP_SECONDS, END_SECONDS = 5.0, 15.0
"""Arrivals count from the first time on and end at the second, in seconds."""
DATA_CENTRES = ("palermo", "catania", "messina")
ENTRY_WEIGHT_SIGMA = 0.5
"""Sigma of the log-normal distribution of callers over entries."""

RankPolicy = Callable[
    [Sequence[DirectTargetState], RunningElsewhere, Mapping[str, int], random.Random],
    DirectTargetState,
]
"""Chooses by an entry's states, the requests of other entries and its own slots."""


@dataclass(frozen=True, slots=True)
class ArrivalLoad:
    """Arrivals per second at a group, and the age of entries' reports in seconds."""

    entries: int
    ranks: int
    slots: int
    rate: float
    report_age: float


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Running requests at a time: of each rank in total, and from each entry."""

    at: float
    running: list[int]
    own: list[list[int]]


@dataclass
class ArrivalSimulation:
    """Simulate arrivals that each entry sends to the rank returned by ``choose``."""

    load: ArrivalLoad
    seed: int
    choose: RankPolicy
    stream_ends: list[tuple[float, int, int]] = field(default_factory=list)
    snapshots: deque[LoadSnapshot] = field(default_factory=deque)

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
        self.own_slots = [assign_slots(row.name, rows, ranks) for row in rows]
        self.running = [0] * load.ranks
        self.weights = [self.rng.lognormvariate(0, ENTRY_WEIGHT_SIGMA) for _ in rows]

    def full_rank_share(self) -> float:
        """Return the share of arrivals that have to wait for a slot."""
        now, full, arrivals = 0.0, 0, 0
        while now < END_SECONDS:
            now += self.rng.expovariate(self.load.rate)
            self._end_streams(now)
            self._take_snapshot(now)
            entry = self.rng.choices(range(self.load.entries), self.weights)[0]
            rank = self._choose(entry)
            if now > WARMUP_SECONDS:
                arrivals += 1
                full += self.running[rank] >= self.load.slots
            self._start(entry, rank, now)
        return full / arrivals

    def _take_snapshot(self, now: float) -> None:
        own = [[state.running for state in states] for states in self.states]
        self.snapshots.append(LoadSnapshot(now, list(self.running), own))
        while (
            len(self.snapshots) > 1
            and self.snapshots[1].at <= now - self.load.report_age
        ):
            self.snapshots.popleft()

    def _choose(self, entry: int) -> int:
        snapshot = self.snapshots[0]
        others = {
            f"r{n}": snapshot.running[n] - snapshot.own[entry][n]
            for n in range(self.load.ranks)
        }
        states = self.states[entry]
        chosen = self.choose(
            states, others.__getitem__, self.own_slots[entry], self.rng
        )
        return states.index(chosen)

    def _start(self, entry: int, rank: int, now: float) -> None:
        self.running[rank] += 1
        self.states[entry][rank].running += 1
        seconds = STREAM_SECONDS * self.rng.uniform(0.8, 1.2)
        heapq.heappush(self.stream_ends, (now + seconds, entry, rank))

    def _end_streams(self, now: float) -> None:
        while self.stream_ends and self.stream_ends[0][0] <= now:
            _, entry, rank = heapq.heappop(self.stream_ends)
            self.running[rank] -= 1
            self.states[entry][rank].running -= 1
