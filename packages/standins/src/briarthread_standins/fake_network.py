"""A network inside one process, with faults."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.exceptions import (
    BrokenCallError,
    ConnectionRefused,
    NotWrittenError,
)
from briarthread_common.http.app import AnswerAborted
from briarthread_common.http.channel import ChannelRequest, ChannelResponse
from briarthread_standins.fake_call import FakeCall

CONNECT_TIMEOUT_SECONDS = 1.0
LATENCY_SECONDS = 0.001
HEAD_BYTES = 250
"""Bytes of a message besides its body, about what our own calls have."""


@dataclass(eq=False, slots=True)
class Node:
    """
    Hold what listens at an address and the calls it is serving.

    With ``accepts_late_calls`` off, a late copy of a call dies with the process that
    it was sent to, as it does with a TCP connection.
    """

    address: str
    site: str
    app: Any
    accepts_late_calls: bool = True
    frozen: bool = False
    calls: set[anyio.CancelScope] = field(default_factory=set)


class FakeNetwork:
    """
    Carry calls between applications in one process.

    ``cuts`` holds the pairs of sites that cannot reach each other.
    ``lost_responses`` counts, for a path, the calls whose answer is still to
    be lost after the call took effect; ``duplicate`` likewise counts calls
    that arrive twice, the second time ``late`` seconds after the first, and
    ``delay`` those that break for the caller and arrive only then. A count
    can be kept for a path at one address, as ``path@address``. ``link_rate`` is
    how many bytes a second each address can send, 0 for any number; what it sends
    goes out one after the other.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.nodes: dict[str, Node] = {}
        self.partitions: set[frozenset[str]] = set()
        self.lost_responses: dict[str, int] = {}
        self.duplicated_calls: dict[str, int] = {}
        self.delayed_calls: dict[str, int] = {}
        self.late_seconds = 0.0
        self.link_rate = 0.0
        self.link_free_at: dict[str, float] = {}
        self.sent_bytes: Counter[str] = Counter()
        self.changed = anyio.Event()
        self.call_count = 0

    def listen(
        self, address: str, site: str, app: Any, accepts_late_calls: bool = True
    ) -> None:
        """Let an application answer at an address."""
        self.nodes[address] = Node(address, site, app, accepts_late_calls)

    def close(self, address: str) -> None:
        """Kill what answers at an address, with the calls it serves."""
        node = self.nodes.pop(address, None)
        if node is not None:
            for scope in list(node.calls):
                scope.cancel()

    def freeze(self, address: str, frozen: bool) -> None:
        """Hold back, or let go, all that goes to or from an address."""
        node = self.nodes.get(address)
        if node is not None:
            node.frozen = frozen
        self._note_change()

    def partition(self, one: str, other: str) -> None:
        """Cut two sites off from each other."""
        self.partitions.add(frozenset((one, other)))

    def heal(self) -> None:
        """Mend all cuts."""
        self.partitions.clear()
        self._note_change()

    def channel(self, address: str, site: str) -> "FakeChannel":
        """Return the channel of a process at an address."""
        return FakeChannel(self, address, site)

    def consume_fault(self, faults: dict[str, int], request: ChannelRequest) -> bool:
        """Tell whether a counted fault strikes a call, and count it off."""
        for key in (request.path, f"{request.path}@{request.address}"):
            if faults.get(key, 0):
                faults[key] -= 1
                return True
        return False

    def is_reachable(self, address: str, site: str, node: Node) -> bool:
        """Tell whether messages pass between a process and a node now."""
        mine = self.nodes.get(address)
        if node.frozen or (mine is not None and mine.frozen):
            return False
        return frozenset((site, node.site)) not in self.partitions

    async def wait_until_reachable(self, address: str, site: str, node: Node) -> None:
        """Return once messages pass between a process and a node."""
        while not self.is_reachable(address, site, node):
            await self.changed.wait()

    async def transmit(self, sender: str, size: int) -> None:
        """Return once a message has gone out over its sender's link."""
        size += HEAD_BYTES
        self.sent_bytes[sender] += size
        if not self.link_rate:
            return
        now = anyio.current_time()
        free = max(self.link_free_at.get(sender, now), now) + size / self.link_rate
        self.link_free_at[sender] = free
        await anyio.sleep(free - now)

    def start_call(self, node: Node, exchange: FakeCall) -> None:
        """Let a node serve a call in a task of its own."""
        self.call_count += 1
        self.tasks.start_soon(self._serve, node, exchange)

    def start_late_call(self, node: Node, exchange: FakeCall) -> None:
        """Let a copy of a call arrive late, if somebody then takes it."""
        self.tasks.start_soon(self._serve_late, node, exchange)

    async def _serve_late(self, sent_to: Node, exchange: FakeCall) -> None:
        await anyio.sleep(self.late_seconds)
        node = self.nodes.get(sent_to.address)
        if node is sent_to or (node is not None and node.accepts_late_calls):
            await self._serve(node, exchange)

    async def _serve(self, node: Node, exchange: FakeCall) -> None:
        with anyio.CancelScope() as scope:
            node.calls.add(scope)
            try:
                await node.app(exchange.scope, exchange.receive, exchange.send)
            except AnswerAborted as error:
                logger.debug("network: {}", error)
            finally:
                node.calls.discard(scope)
        exchange.sender.close()

    def _note_change(self) -> None:
        event, self.changed = self.changed, anyio.Event()
        event.set()


class FakeChannel:
    """Call nodes of the fake network from one address."""

    def __init__(self, network: FakeNetwork, address: str, site: str) -> None:
        self.network = network
        self.address = address
        self.site = site

    @asynccontextmanager
    async def stream(self, request: ChannelRequest) -> AsyncIterator[ChannelResponse]:
        """Send a call; see Channel."""
        node = await self._connect(request)
        exchange = FakeCall(request, self.address)
        await self.network.transmit(self.address, len(request.body or b""))
        if self.network.consume_fault(self.network.delayed_calls, request):
            self.network.start_late_call(node, exchange)
            raise BrokenCallError(f"{request.path} was held up")
        self.network.start_call(node, exchange)
        if self.network.consume_fault(self.network.duplicated_calls, request):
            self.network.start_late_call(node, FakeCall(request))
        try:
            head = await self._next(node, exchange)
            if self.network.consume_fault(self.network.lost_responses, request):
                raise BrokenCallError(f"answer to {request.path} was lost")
            fields = tuple((k.decode(), v.decode()) for k, v in head["headers"])
            body = self._body(node, exchange)
            yield ChannelResponse(head["status"], dict(fields), body, fields)
        finally:
            exchange.end()

    async def _connect(self, request: ChannelRequest) -> Node:
        await anyio.sleep(LATENCY_SECONDS)
        node = self.network.nodes.get(request.address)
        if node is None:
            raise ConnectionRefused(f"{request.address} refused")
        if not self.network.is_reachable(self.address, self.site, node):
            await anyio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise NotWrittenError(f"{request.address} is out of reach")
        return node

    async def _body(self, node: Node, exchange: FakeCall) -> AsyncIterator[bytes]:
        while True:
            message = await self._next(node, exchange)
            if message.get("body"):
                yield message["body"]
            if not message.get("more_body", False):
                return

    async def _next(self, node: Node, exchange: FakeCall) -> dict[str, Any]:
        try:
            message = await exchange.receiver.receive()
        except anyio.EndOfStream as error:
            raise BrokenCallError(f"{node.address} hung up") from error
        if message.get("body"):
            await self.network.transmit(node.address, len(message["body"]))
        await anyio.sleep(LATENCY_SECONDS)
        await self.network.wait_until_reachable(self.address, self.site, node)
        return message
