"""Bytes that lie on a connection before the response to a call, over real sockets."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import pytest
from processes.stuttering_target import (
    Answer,
    StutteringTarget,
    build_answer,
    fill_reads,
)

from briarthread_common.core.exceptions import (
    ChannelError,
    ForeignResponseError,
)
from briarthread_common.core.run_loop import run_loop
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.channel_options import ChannelOptions
from briarthread_common.http.http_channel import DISTRUST_SECONDS, HttpChannel

WHOLE_BYTES = len(build_answer(Answer(), "1")[0])
HEAD_READ_BYTES = 4096
BODY_READ_BYTES = 65536
"""Bytes that a channel reads at a time."""
CALL_SECONDS = 5.0
SETTLE_SECONDS = 0.01
"""Time in seconds for bytes to arrive on the loopback interface."""


@dataclass(slots=True)
class Client:
    """Call a target; each call has a number as its id."""

    channel: HttpChannel
    target: StutteringTarget
    address: str
    count: int = 0

    async def call(self, answer: Answer) -> int:
        """Return the status of a response that names this call, or raise an error."""
        self.count += 1
        request_id = str(self.count)
        self.target.answers.append(answer)
        headers = (("x-request-id", request_id),)
        request = ChannelRequest("GET", self.address, "/", headers, body=None)
        with anyio.fail_after(CALL_SECONDS):
            return await self._exchange(request, request_id)

    async def _exchange(self, request: ChannelRequest, request_id: str) -> int:
        async with self.channel.stream(request) as response:
            ids = {v for name, v in response.fields if name == "x-request-id"}
            if ids != {request_id}:
                raise ForeignResponseError("response to another call")
            async for _ in response.body:
                pass
            return response.status

    async def find_mixed(self, first: Answer, second: Answer) -> str:
        """Return what the second call got if it is neither its answer nor an error."""
        assert await self.call(first) == first.status
        try:
            status = await self.call(second)
        except ChannelError:
            return ""
        return "" if status == second.status else f"{first}, {second}: {status}"


def run_with_clients(
    scenario: Callable[[Callable[[], Awaitable[Client]]], Awaitable[None]],
) -> None:
    """Play a scenario with a function that returns a client and a target of its own."""

    async def play() -> None:
        async with anyio.create_task_group() as tasks:

            async def build() -> Client:
                target = StutteringTarget()
                channel = HttpChannel(ChannelOptions(connect_timeout=CALL_SECONDS))
                return Client(channel, target, await target.start(tasks))

            await scenario(build)
            tasks.cancel_scope.cancel()

    run_loop(play)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("status", [204, 404, 500])
def test_part_of_an_earlier_answer_gives_no_call_its_status(
    status: int, chunked: bool
) -> None:
    async def scenario(build: Callable[[], Awaitable[Client]]) -> None:
        found = []
        for part in range(WHOLE_BYTES + 1):
            client = await build()
            first = Answer(200, chunked=chunked)
            second = Answer(status, late=part, size=0 if status == 204 else 40)
            found.append(await client.find_mixed(first, second))
        assert not list(filter(None, found))

    run_with_clients(scenario)


@pytest.mark.parametrize("chunked", [False, True])
def test_rest_of_an_earlier_answer_gives_no_call_its_status(chunked: bool) -> None:
    async def scenario(build: Callable[[], Awaitable[Client]]) -> None:
        found = []
        first = Answer(200, chunked=chunked)
        whole = len(build_answer(first, "1")[0])
        for begin in range(whole):
            client = await build()
            second = Answer(404, late_from=begin, late=whole)
            found.append(await client.find_mixed(first, second))
        assert not list(filter(None, found))

    run_with_clients(scenario)


HEAD_FORMS = {
    "LF alone": Answer(line_end="\n"),
    "folded field": Answer(fields="X-Folded: a\r\n b\r\n"),
    "status line in a field": Answer(fields="X-Quoted: HTTP/1.1 200 OK\r\n"),
    "LF alone, in chunks": Answer(line_end="\n", chunked=True),
    "folded field, in chunks": Answer(fields="X-Folded: a\r\n b\r\n", chunked=True),
}


@pytest.mark.parametrize("form", HEAD_FORMS)
@pytest.mark.parametrize("is_second", [False, True])
def test_part_of_an_unusual_head_gives_no_call_its_status(
    form: str, is_second: bool
) -> None:
    """Guards against cuts in heads whose lines the checks do not know."""
    first = HEAD_FORMS[form]
    whole = len(build_answer(first, "1")[0])

    async def scenario(build: Callable[[], Awaitable[Client]]) -> None:
        found = []
        for part in range(whole + 1):
            client = await build()
            second = replace(first if is_second else Answer(), status=500, late=part)
            found.append(await client.find_mixed(first, second))
        assert not list(filter(None, found))

    run_with_clients(scenario)


def test_part_that_comes_before_the_next_call_costs_it_nothing() -> None:
    async def scenario(build: Callable[[], Awaitable[Client]]) -> None:
        for part in range(1, WHOLE_BYTES + 1):
            client = await build()
            assert await client.call(Answer()) == 200
            await client.target.send_unasked(build_answer(Answer(), "1")[0][:part])
            await anyio.sleep(SETTLE_SECONDS)
            assert await client.call(Answer(404)) == 404, part
            assert client.target.connections == 2

    run_with_clients(scenario)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize(
    "size", [WHOLE_BYTES, HEAD_READ_BYTES, HEAD_READ_BYTES + BODY_READ_BYTES]
)
def test_what_comes_with_an_answer_is_no_part_of_the_next(
    chunked: bool, size: int
) -> None:
    """Guards against bytes that wait in the parser or behind a read."""

    async def scenario(build: Callable[[], Awaitable[Client]]) -> None:
        for part in range(1, WHOLE_BYTES + 1):
            client = await build()
            assert await client.call(fill_reads(size, "1", part, chunked)) == 200
            assert await client.call(Answer(404)) == 404, part
            assert client.target.connections == 2

    run_with_clients(scenario)


def test_part_that_is_no_answer_is_told_from_a_target_that_fails() -> None:
    """Guards against ejecting a target for what lay on a kept connection."""

    async def scenario(build: Callable[[], Awaitable[Client]]) -> None:
        client = await build()
        assert await client.call(Answer()) == 200
        with pytest.raises(ForeignResponseError):
            await client.call(Answer(late=len("HTTP/1.1 200 Reason\r\nX-Req")))
        assert await client.call(Answer()) == 200
        assert client.target.connections == 2

    run_with_clients(scenario)


def test_call_is_not_sent_on_a_connection_with_unread_bytes() -> None:
    """Guards against bytes that come after the pool has chosen the connection."""

    async def scenario(build: Callable[[], Awaitable[Client]]) -> None:
        client = await build()
        for _ in range(3):
            assert await client.call(Answer()) == 200
        assert client.target.connections == 1
        await client.target.send_unasked(build_answer(Answer(), "3")[0])
        await anyio.sleep(SETTLE_SECONDS)
        pool = client.channel.pools[client.address, False]
        for connection in pool.connections:
            connection.has_expired = lambda: False
        assert await client.call(Answer(404)) == 404
        assert client.target.connections == 2

    run_with_clients(scenario)


def test_target_that_sends_unasked_gets_new_connections_for_a_while() -> None:
    async def scenario(build: Callable[[], Awaitable[Client]]) -> None:
        client = await build()
        surplus: list[str] = []
        client.channel.on_surplus = lambda: surplus.append("seen")
        assert await client.call(Answer()) == 200
        with pytest.raises(ForeignResponseError):
            await client.call(Answer(late=WHOLE_BYTES))
        assert surplus
        for number in range(3):
            assert await client.call(Answer()) == 200
            assert client.target.connections == 2 + number
        client.channel.distrusted_until[client.address] -= DISTRUST_SECONDS
        for _ in range(3):
            assert await client.call(Answer()) == 200
        assert client.target.connections == 5

    run_with_clients(scenario)


def test_sound_answers_and_closed_connections_cost_no_trust() -> None:
    """Guards against a handshake for each call at a target that is sound."""

    async def scenario(build: Callable[[], Awaitable[Client]]) -> None:
        client = await build()
        for size in (0, 40, HEAD_READ_BYTES, 200_000):
            for chunked in (False, True):
                assert await client.call(Answer(size=size, chunked=chunked)) == 200
        assert client.target.connections == 1
        await client.target.close_connections()
        await anyio.sleep(SETTLE_SECONDS)
        for _ in range(3):
            assert await client.call(Answer()) == 200
        assert client.target.connections == 2
        assert not client.channel.distrusted_until

    run_with_clients(scenario)
