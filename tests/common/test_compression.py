"""Compression of large bodies between processes of briarthread."""

import zlib

import anyio
import pytest

from briarthread_common.core.exceptions import BrokenCallError, RequestError
from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.channel_calls import call_json, read_bounded
from briarthread_common.http.compression import (
    CONTENT_ENCODING_HEADER,
    MIN_COMPRESSED_BYTES,
    compress_body,
    decompress_body,
)
from briarthread_standins.fake_network import FakeNetwork
from briarthread_standins.virtual_time import run_virtual

MAX_BODY_BYTES = 100_000
ADDRESS = "10.1.0.1:9"


class DoublingServer:
    """Reply to a list with the list repeated twice, and record the body encodings."""

    def __init__(self, network: FakeNetwork) -> None:
        self.encodings: list[str | None] = []
        app = App([Route("POST", "/double", self.handle)])
        network.listen(ADDRESS, "palermo", app)

    async def handle(self, call: Call) -> None:
        self.encodings.append(call.headers.get("content-encoding"))
        await call.reply_json(2 * await call.read_json(list[int], MAX_BODY_BYTES))


def in_network(scenario: object) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            network = FakeNetwork(tasks)
            await scenario(
                DoublingServer(network), network.channel("10.1.0.2:9", "palermo")
            )
            tasks.cancel_scope.cancel()

    run_virtual(run)


@pytest.mark.parametrize(
    ("items", "packed", "encoding"),
    [(3, True, None), (5000, True, "deflate"), (5000, False, None)],
)
def test_message_and_reply_are_unchanged_by_compression(
    items: int, packed: bool, encoding: str | None
) -> None:
    async def scenario(server: DoublingServer, channel: object) -> None:
        message = list(range(items))
        answer = await call_json(
            channel, ADDRESS, "POST", "/double", message, list[int], 1.0, packed
        )
        assert answer == 2 * message
        assert server.encodings == [encoding]

    in_network(scenario)


@pytest.mark.parametrize(
    "body",
    [
        b"no zlib",
        zlib.compress(b"[1]")[:-3],
        zlib.compress(b"[" + b"1," * MAX_BODY_BYTES),
    ],
)
def test_corrupt_or_oversized_compressed_body_is_rejected(body: bytes) -> None:
    async def scenario(_: DoublingServer, channel: object) -> None:
        request = ChannelRequest(
            "POST", ADDRESS, "/double", (CONTENT_ENCODING_HEADER,), body
        )
        async with channel.stream(request) as response:
            await read_bounded(response.body, MAX_BODY_BYTES)
        assert response.status in (400, 413)

    in_network(scenario)


def test_corrupt_compressed_reply_is_a_broken_call() -> None:
    async def scenario(_: DoublingServer, channel: object) -> None:
        async def reply_corrupt(call: Call) -> None:
            await call.reply(200, b"no zlib", [CONTENT_ENCODING_HEADER])

        app = App([Route("POST", "/broken", reply_corrupt)])
        channel.network.listen("10.1.0.3:9", "palermo", app)
        with pytest.raises(BrokenCallError, match="broken body"):
            await call_json(
                channel,
                "10.1.0.3:9",
                "POST",
                "/broken",
                1,
                list[int],
                1.0,
                compressed=True,
            )

    in_network(scenario)


def test_small_body_is_not_compressed() -> None:
    assert compress_body(b"x" * (MIN_COMPRESSED_BYTES - 1)) is None
    with pytest.raises(RequestError, match="over 10 bytes"):
        decompress_body(zlib.compress(b"x" * 11), limit=10)
