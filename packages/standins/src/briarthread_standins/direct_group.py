"""A stand-in for a lock-step group that checks its own consistency."""

import random

import anyio

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.messages.expert_map import round_robin_map
from briarthread_standins.direct_rank import DirectRank

MAX_BODY_BYTES = 4 * 1024 * 1024
COPY_SECONDS = 0.2
PASS_SECONDS = 0.06
SELECTIONS_PER_PASS = 400
"""Expert selections that each rank counts per pass in each set."""


class DirectGroup:
    """
    Run passes and check that all ranks have the same map in each.

    ``violations`` lists each pass that began with different maps. Orders are accepted
    from any sender. The response to an order can be dropped; such an order takes effect
    after ``late_seconds``. ``unanswered_orders`` counts the next orders to treat so,
    ``unanswered_by_kind`` those of one kind, and ``unanswered_share`` is the share of
    all orders. ``held_seconds`` is the total time that the group waited for a held
    pass, ``longest_hold_seconds`` the longest such wait.
    """

    def __init__(
        self, ranks: int, sets: int, experts: int, spare: int = 3, name: str = "g"
    ) -> None:
        self.name = name
        self.sets = sets
        self.experts = experts
        self.spare = spare
        self.epoch = 1
        self.step = 0
        self.serving = True
        self.demand = [[1.0] * experts for _ in range(sets)]
        self.violations: list[str] = []
        self.unanswered_orders = 0
        self.unanswered_by_kind: dict[str, int] = {}
        self.unanswered_share = 0.0
        self.late_seconds = 2.0
        self.rng = random.Random(5)
        self.held_seconds = 0.0
        self.longest_hold_seconds = 0.0
        self.orders: list[str] = []
        counts = [0] * sets * experts
        self.ranks = [DirectRank(r, [], counts=list(counts)) for r in range(ranks)]
        self._distribute_evenly()

    def app(self, number: int) -> App:
        """Return the application of one rank's engine."""
        rank = self.ranks[number]

        async def report(call: Call) -> None:
            await call.reply_json(self._report(rank))

        async def picked(call: Call) -> None:
            if "lists" in call.query:
                lists = {"version": rank.map_version, "experts": rank.experts_by_set}
                await call.reply_json({"epoch": self.epoch, "map": lists})
                return
            counts = {"step": self.step, "epoch": self.epoch, "counts": rank.counts}
            await call.reply_json(counts)

        async def order(call: Call) -> None:
            await self._order(rank, call)

        return App(
            [
                Route("GET", "/api/report", report),
                Route("GET", "/api/picked", picked),
                Route("POST", "/api/order", order),
            ]
        )

    async def run(self) -> None:
        """Run passes until cancelled."""
        while True:
            await anyio.sleep(PASS_SECONDS)
            waited = 0.0
            while any(rank.held == self.step + 1 for rank in self.ranks):
                await anyio.sleep(0.01)
                waited += 0.01
                self.held_seconds += 0.01
                self.longest_hold_seconds = max(self.longest_hold_seconds, waited)
            if self.serving:
                self._begin_pass()

    def reform(self) -> None:
        """Re-form the group in a new epoch with the initial map."""
        self.epoch += 1
        self._distribute_evenly()

    def _distribute_evenly(self) -> None:
        layer = round_robin_map(0, 1, self.experts, len(self.ranks)).layers[0]
        for number, rank in enumerate(self.ranks):
            rank.number = number
            rank.reset([layer[number] for _ in range(self.sets)])

    def relative_load(self, number: int) -> float:
        """Return a rank's expert load relative to the mean of all ranks."""
        own_load = mean_load = 0.0
        for layer in range(self.sets):
            loads = self._rank_loads(layer)
            own_load += loads[number]
            mean_load += sum(loads) / len(loads)
        return own_load / mean_load

    def skew(self) -> float:
        """Return the largest load of a rank in each set relative to the mean."""
        largest_load = mean_load = 0.0
        for layer in range(self.sets):
            loads = self._rank_loads(layer)
            largest_load += max(loads)
            mean_load += sum(loads) / len(loads)
        return largest_load / mean_load

    def _rank_loads(self, layer: int) -> list[float]:
        demand = self.demand[layer]
        replicas = [0] * self.experts
        for rank in self.ranks:
            for expert in rank.experts_by_set[layer]:
                replicas[expert] += 1
        return [
            sum(demand[e] / replicas[e] for e in rank.experts_by_set[layer])
            for rank in self.ranks
        ]

    def _begin_pass(self) -> None:
        self.step += 1
        for rank in self.ranks:
            rank.begin_pass(self.step)
        versions = {rank.map_version for rank in self.ranks}
        if len(versions) > 1:
            self.violations.append(f"pass {self.step}: maps {sorted(versions)}")
        for rank in self.ranks:
            self._count(rank)

    def _count(self, rank: DirectRank) -> None:
        for number, demand in enumerate(self.demand):
            total = sum(demand)
            for expert, share in enumerate(demand):
                rank.counts[number * self.experts + expert] += int(
                    SELECTIONS_PER_PASS * share / total
                )

    def _report(self, rank: DirectRank) -> dict[str, object]:
        armed = rank.armed and {"version": rank.armed[0], "step": rank.armed[1]}
        return {
            "group": {
                "name": self.name,
                "epoch": self.epoch,
                "rank": rank.number,
                "state": "open" if self.serving else "broken",
            },
            "size": len(self.ranks),
            "step": self.step,
            "active": 1,
            "pace": rank.pace,
            "map": rank.map_version,
            "prepared": rank.prepared,
            "armed": armed,
            "held": rank.held,
        }

    async def _order(self, rank: DirectRank, call: Call) -> None:
        order = await call.read_json(dict, MAX_BODY_BYTES)
        if self._should_drop_response(order["op"]):
            await anyio.sleep(self.late_seconds)
            await self._execute(rank, order)
            return
        await call.reply(await self._execute(rank, order), b"")

    def _should_drop_response(self, kind: str) -> bool:
        if self.rng.random() < self.unanswered_share:
            return True
        if self.unanswered_orders:
            self.unanswered_orders -= 1
            return True
        if self.unanswered_by_kind.get(kind, 0):
            self.unanswered_by_kind[kind] -= 1
            return True
        return False

    async def _execute(self, rank: DirectRank, order: dict) -> int:
        self.orders.append(order["op"])
        if order["epoch"] != self.epoch:
            return 409
        match order["op"]:
            case "prepare":
                return self._prepare(rank, order["version"], order["map"])
            case "arm":
                accepted = rank.arm(order["version"], order["step"], self.step)
                return 200 if accepted else 409
            case "hold":
                return 200 if rank.hold(order["step"], self.step) else 409
            case "go":
                rank.go(order["step"])
                return 200
        return 400

    def _prepare(
        self, rank: DirectRank, version: int, layers: list[list[list[int]]]
    ) -> int:
        new_experts = rank.prepare(version, layers, self.spare)
        if new_experts is None:
            return 409
        seconds = COPY_SECONDS if new_experts else 0.0
        self.tasks.start_soon(self._copy, rank, version, seconds, self.epoch)
        return 202

    async def _copy(
        self, rank: DirectRank, version: int, seconds: float, epoch: int
    ) -> None:
        await anyio.sleep(seconds)
        if epoch == self.epoch:
            rank.finish_copy(version)

    tasks: anyio.abc.TaskGroup
