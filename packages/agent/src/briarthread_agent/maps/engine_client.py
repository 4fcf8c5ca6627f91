"""Orders from the agent to its engine."""

from briarthread_common.core.exceptions import BrokenCallError
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

ORDER_TIMEOUT_SECONDS = 2.0
"""Seconds within which an order arrives or never does."""
STAGE_TIMEOUT_SECONDS = 120.0


class EngineClient:
    """
    Give orders under a fencing number and this agent's epoch.

    ``highest_fence`` is the highest planner's number seen; an order under a
    lower one is never sent, because some engines would take it.
    """

    def __init__(self, channel: Channel, address: str, epoch: int) -> None:
        self.channel = channel
        self.address = address
        self.epoch = epoch
        self.highest_fence = 0

    async def state(self) -> EngineState:
        """Return the engine's state; raise ChannelError if it is silent."""
        return await call_json(
            self.channel,
            self.address,
            "GET",
            STATE_PATH,
            None,
            EngineState,
            ORDER_TIMEOUT_SECONDS,
        )

    async def report(self) -> MapReport:
        """Return the engine's map and counts; raise ChannelError if silent."""
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
        Give an order and return the engine's state after it.

        Raise ChannelError when it was refused or its answer did not come.
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
            raise BrokenCallError(f"engine refused {kind}: {answer.reason}")
        return answer.state
