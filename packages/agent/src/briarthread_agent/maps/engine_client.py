"""Client for the agent's engine."""

from briarthread_common.core.exceptions import BrokenCallError, ForeignResponseError
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json
from briarthread_common.messages.engine_order import (
    ORDER_PATH,
    STATE_PATH,
    EngineOrder,
    EngineState,
    OrderAnswer,
    OrderKind,
)
from briarthread_common.messages.expert_map import ExpertMap
from briarthread_common.messages.map_report import ENGINE_REPORT_PATH, MapReport
from briarthread_common.utils.reported_step import ReportedStep
from briarthread_common.utils.step_order import StepOrder

ORDER_TIMEOUT_SECONDS = 2.0
"""Timeout of an order, after which it can no longer arrive."""
STAGE_TIMEOUT_SECONDS = 120.0


class EngineClient:
    """
    Send orders with a fencing token and this agent's epoch.

    ``highest_fence`` is the highest fencing token of a planner seen so far. Orders
    with a lower one are never sent, because some engines would accept them.
    """

    def __init__(self, channel: Channel, address: str, epoch: int) -> None:
        self.channel = channel
        self.address = address
        self.epoch = epoch
        self.highest_fence = 0
        self.step_order = StepOrder()

    async def state(self) -> EngineState:
        """Return the engine's state; raise ChannelError if it does not answer."""
        before = self.step_order.newest
        state = await call_json(
            self.channel,
            self.address,
            "GET",
            STATE_PATH,
            None,
            EngineState,
            ORDER_TIMEOUT_SECONDS,
        )
        self.step_order.check(before, ReportedStep(state.step))
        return state

    async def report(self) -> MapReport:
        """Return the engine's map and counts; raise ChannelError without an answer."""
        return await call_json(
            self.channel,
            self.address,
            "GET",
            ENGINE_REPORT_PATH,
            None,
            MapReport,
            ORDER_TIMEOUT_SECONDS,
        )

    async def order(
        self,
        kind: OrderKind,
        version: int = 0,
        step: int = 0,
        scheduled: int = 0,
        expert_map: ExpertMap | None = None,
    ) -> EngineState:
        """
        Send an order and return the engine's state after it.

        Raise ChannelError if the order was refused or was not answered, or if a hold
        is not part of the state: all other ranks may rely on it from then on.
        """
        order = EngineOrder(
            kind,
            self.highest_fence,
            self.epoch,
            version,
            step,
            scheduled,
            expert_map,
        )
        before = self.step_order.newest
        timeout = (
            STAGE_TIMEOUT_SECONDS if kind is OrderKind.STAGE else ORDER_TIMEOUT_SECONDS
        )
        answer = await call_json(
            self.channel,
            self.address,
            "POST",
            ORDER_PATH,
            order,
            OrderAnswer,
            timeout,
        )
        if not answer.accepted:
            raise BrokenCallError(f"engine refused the order {kind}: {answer.reason}")
        self.step_order.check(before, ReportedStep(answer.state.step))
        if kind is OrderKind.HOLD and answer.state.hold_for != version:
            raise ForeignResponseError(f"engine does not hold for version {version}")
        return answer.state
