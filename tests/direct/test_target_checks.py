"""Checks of which target answers at an address."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from direct_builders import build_state

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.http.channel import ChannelRequest, ChannelResponse
from briarthread_common.utils.clock import Clock
from briarthread_entry.direct.targets.address_holders import AddressHolders
from briarthread_entry.direct.targets.target_checker import TargetChecker
from briarthread_entry.direct.targets.target_state import DirectTargetState
from briarthread_platform.header_names import HEADERS

HEALTH_PATH = "/healthz"


class OneAddress(AddressHolders):
    """Holders of one address, on which the evidence stays contradictory."""

    def __init__(self, state: DirectTargetState) -> None:
        self.state = state

    def unsettled(self) -> dict[str, list[DirectTargetState]]:
        return {self.state.target.address: [self.state]}

    def note_evidence(self, states: list[DirectTargetState]) -> None:
        return


class RecordingChannel:
    """Record the calls; answer each with 200 and no field."""

    def __init__(self) -> None:
        self.requests: list[ChannelRequest] = []
        self.called = anyio.Event()

    @asynccontextmanager
    async def stream(self, request: ChannelRequest) -> AsyncIterator[ChannelResponse]:
        self.requests.append(request)
        self.called.set()
        yield ChannelResponse(200, {}, _no_body())


async def _no_body() -> AsyncIterator[bytes]:
    for part in ():
        yield part


def test_check_is_sent_over_a_connection_of_its_own() -> None:
    """Guards against a late answer to a caller that is taken for a target's name."""

    async def scenario() -> None:
        channel = RecordingChannel()
        metrics = Metrics()
        checker = TargetChecker(
            OneAddress(build_state()),
            lambda name: DirectService(name, 100, health_path=HEALTH_PATH),
            channel,
            HEADERS,
            metrics,
            EventLog(Clock.from_system(), "entry"),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(checker.run)
            await channel.called.wait()
            tasks.cancel_scope.cancel()
        assert all(request.new_connection for request in channel.requests)

    anyio.run(scenario)
