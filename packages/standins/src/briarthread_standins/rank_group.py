"""Stand-ins for engines that run in lock-step on an expert map."""

from dataclasses import dataclass, field

import anyio

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.messages.engine_order import (
    ORDER_PATH,
    STATE_PATH,
    EngineOrder,
    EngineState,
    OrderAnswer,
    OrderKind,
)
from briarthread_common.messages.expert_map import (
    FIRST_MAP_VERSION,
    ExpertMap,
    round_robin_map,
)
from briarthread_common.messages.map_report import ENGINE_REPORT_PATH, MapReport

MAX_BODY_BYTES = 64 * 1024 * 1024
STAGE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Mismatch:
    """A step in which ranks were on different maps."""

    step: int
    versions: tuple[int, ...]


class RankEngine:
    """
    A stand-in for the engine of one rank.

    With ``fencing`` off it accepts any order, even from an agent that was replaced
    long ago, and a late switch takes effect at once.
    """

    def __init__(self, fencing: bool, initial_map: ExpertMap | None = None) -> None:
        self.fencing = fencing
        self.maps = {
            FIRST_MAP_VERSION: initial_map
            or round_robin_map(FIRST_MAP_VERSION, 1, 1, 1)
        }
        self.counts: list[list[int]] = []
        self.fencing_token = (0, 0)
        self.alive = True
        self.step = 0
        self.version = 0
        self.staged = 0
        self.hold_for = 0
        self.hold_step = 0
        self.scheduled = 0
        self.app = App(
            [
                Route("POST", ORDER_PATH, self._handle_order),
                Route("GET", STATE_PATH, self._handle_state),
                Route("GET", ENGINE_REPORT_PATH, self._handle_report),
            ]
        )

    def restart(self) -> None:
        """Lose all state but the group's step, as a replaced rank does."""
        self.fencing_token = (0, 0)
        self.version = self.staged = self.scheduled = 0
        self.hold_for = self.hold_step = 0

    def state(self) -> EngineState:
        """Return the state that the engine reports."""
        return EngineState(
            self.step,
            self.version,
            self.staged,
            self.hold_for,
            self.hold_step,
            self.is_held(),
            self.scheduled,
        )

    def is_held(self) -> bool:
        """Return whether the engine waits for a decision before its next step."""
        return bool(
            self.hold_for and self.step >= self.hold_step and not self.scheduled
        )

    def can_step(self) -> bool:
        """Return whether the engine can take part in a step now."""
        return self.alive and self.version != 0 and not self.is_held()

    def begin_step(self) -> None:
        """Switch to the scheduled map if it is due at this step."""
        if self.scheduled and self.step >= self.hold_step:
            self.version = self.scheduled
            self.scheduled = self.hold_for = self.hold_step = 0

    async def apply_order(self, order: EngineOrder) -> OrderAnswer:
        """Check an order's fencing token, execute the order and return the result."""
        order_token = (order.epoch, order.fence)
        if self.fencing and order_token < self.fencing_token:
            return OrderAnswer(False, self.state(), "old fencing number")
        self.fencing_token = max(self.fencing_token, order_token)
        reason = await self._execute(order)
        return OrderAnswer(not reason, self.state(), reason)

    async def _execute(self, order: EngineOrder) -> str:
        match order.kind:
            case OrderKind.STAGE:
                await anyio.sleep(STAGE_SECONDS)
                self.staged = order.version
                self.maps[order.version] = order.expert_map
            case OrderKind.HOLD:
                return self._hold(order)
            case OrderKind.SWITCH:
                return self._switch(order)
            case OrderKind.RESUME:
                if self.hold_for != order.version or self.scheduled:
                    return "not holding for that version"
                self.hold_for = self.hold_step = 0
            case OrderKind.LOAD:
                if self.version:
                    return "has a map"
                self.version = order.version
                self.scheduled = self.hold_for = self.staged = order.scheduled
                self.hold_step = order.step
        return ""

    def _hold(self, order: EngineOrder) -> str:
        if self.staged != order.version:
            return "version is not staged"
        if self.hold_for:
            return "holds for another version"
        if self.step >= order.step:
            return "step has passed"
        self.hold_for = order.version
        self.hold_step = order.step
        return ""

    def _switch(self, order: EngineOrder) -> str:
        if self.hold_for == order.version:
            self.scheduled = order.version
            return ""
        if self.fencing or self.staged != order.version:
            return "not holding for that version"
        self.version = order.version
        return ""

    async def _handle_order(self, call: Call) -> None:
        order = await call.read_json(EngineOrder, MAX_BODY_BYTES)
        await call.reply_json(await self.apply_order(order))

    async def _handle_report(self, call: Call) -> None:
        await call.reply_json(MapReport(self.maps[self.version], self.counts))

    async def _handle_state(self, call: Call) -> None:
        await call.reply_json(self.state())


@dataclass(slots=True)
class RankGroup:
    """
    A group that steps all ranks together and records steps with more than one map.

    ``step_time`` is in seconds.
    """

    engines: list[RankEngine]
    step_time: float = 0.006
    step: int = 0
    mismatches: list[Mismatch] = field(default_factory=list)

    async def run(self) -> None:
        """Run steps until cancelled; a step needs all ranks."""
        while True:
            if all(engine.can_step() for engine in self.engines):
                self.run_step()
            await anyio.sleep(self.step_time)

    def run_step(self) -> None:
        """Run one step."""
        for engine in self.engines:
            engine.begin_step()
        versions = tuple(engine.version for engine in self.engines)
        if len(set(versions)) > 1:
            self.mismatches.append(Mismatch(self.step, versions))
        self.step += 1
        for engine in self.engines:
            engine.step = self.step
