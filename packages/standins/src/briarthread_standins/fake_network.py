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
    RequestNotSentError,
)
from briarthread_common.http.app import ResponseAborted
from briarthread_common.http.channel import ChannelRequest, ChannelResponse
from briarthread_standins.fake_exchange import Exchange

CONNECT_TIMEOUT = 1.0
LATENCY = 0.001
HEAD_BYTES = 250
"""Bytes of a message besides its body, about what our own calls have."""


@dataclass(eq=False, slots=True)
class Node:
    """
    Hold what listens at an address and the calls it is serving.

    With ``takes_late`` off, a late copy of a call dies with the process that
    it was sent to, as it does with a TCP connection.
    """

    address: str
    site: str
    app: Any
    takes_late: bool = True
    frozen: bool = False
    calls: set[anyio.CancelScope] = field(default_factory=set)


class FakeNetwork:
    """
    Carry calls between applications in one process.

    ``cuts`` holds the pairs of sites that cannot reach each other.
    ``lose_answers`` counts, for a path, the calls whose answer is still to
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
        self.cuts: set[frozenset[str]] = set()
        self.lose_answers: dict[str, int] = {}
        self.duplicate: dict[str, int] = {}
        self.delay: dict[str, int] = {}
        self.late = 0.0
        self.link_rate = 0.0
        self.link_free: dict[str, float] = {}
        self.sent_bytes: Counter[str] = Counter()
        self.changed = anyio.Event()
        self.messages = 0

    def listen(
        self, address: str, site: str, app: Any, takes_late: bool = True
    ) -> None:
        """Let an application answer at an address."""
        self.nodes[address] = Node(address, site, app, takes_late)

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

    def cut(self, one: str, other: str) -> None:
        """Cut two sites off from each other."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Mend all cuts."""
        self.cuts.clear()
        self._note_change()

    def channel(self, address: str, site: str) -> "FakeChannel":
        """Return the channel of a process at an address."""
        return FakeChannel(self, address, site)

    def take_fault(self, faults: dict[str, int], request: ChannelRequest) -> bool:
        """Tell whether a counted fault strikes a call, and count it off."""
        for key in (request.path, f"{request.path}@{request.address}"):
            if faults.get(key, 0):
                faults[key] -= 1
                return True
        return False

    def is_open(self, address: str, site: str, node: Node) -> bool:
        """Tell whether messages pass between a process and a node now."""
        mine = self.nodes.get(address)
        if node.frozen or (mine is not None and mine.frozen):
            return False
        return frozenset((site, node.site)) not in self.cuts

    async def wait_open(self, address: str, site: str, node: Node) -> None:
        """Return once messages pass between a process and a node."""
        while not self.is_open(address, site, node):
            await self.changed.wait()

    async def carry(self, sender: str, size: int) -> None:
        """Return once a message has gone out over its sender's link."""
        size += HEAD_BYTES
        self.sent_bytes[sender] += size
        if not self.link_rate:
            return
        now = anyio.current_time()
        free = max(self.link_free.get(sender, now), now) + size / self.link_rate
        self.link_free[sender] = free
        await anyio.sleep(free - now)

    def start_call(self, node: Node, exchange: Exchange) -> None:
        """Let a node serve a call in a task of its own."""
        self.messages += 1
        self.tasks.start_soon(self._serve, node, exchange)

    def start_late_call(self, node: Node, exchange: Exchange) -> None:
        """Let a copy of a call arrive late, if somebody then takes it."""
        self.tasks.start_soon(self._serve_late, node, exchange)

    async def _serve_late(self, sent_to: Node, exchange: Exchange) -> None:
        await anyio.sleep(self.late)
        node = self.nodes.get(sent_to.address)
        if node is sent_to or (node is not None and node.takes_late):
            await self._serve(node, exchange)

    async def _serve(self, node: Node, exchange: Exchange) -> None:
        with anyio.CancelScope() as scope:
            node.calls.add(scope)
            try:
                await node.app(exchange.scope, exchange.receive, exchange.send)
            except ResponseAborted as error:
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
        exchange = Exchange(request, self.address)
        await self.network.carry(self.address, len(request.body or b""))
        if self.network.take_fault(self.network.delay, request):
            self.network.start_late_call(node, exchange)
            raise BrokenCallError(f"{request.path} was held up")
        self.network.start_call(node, exchange)
        if self.network.take_fault(self.network.duplicate, request):
            self.network.start_late_call(node, Exchange(request))
        try:
            head = await self._next(node, exchange)
            if self.network.take_fault(self.network.lose_answers, request):
                raise BrokenCallError(f"answer to {request.path} was lost")
            fields = tuple((k.decode(), v.decode()) for k, v in head["headers"])
            body = self._body(node, exchange)
            yield ChannelResponse(head["status"], dict(fields), body, fields)
        finally:
            exchange.end()

    async def _connect(self, request: ChannelRequest) -> Node:
        await anyio.sleep(LATENCY)
        node = self.network.nodes.get(request.address)
        if node is None:
            raise ConnectionRefused(f"{request.address} refused")
        if not self.network.is_open(self.address, self.site, node):
            await anyio.sleep(CONNECT_TIMEOUT)
            raise RequestNotSentError(f"{request.address} is out of reach")
        return node

    async def _body(self, node: Node, exchange: Exchange) -> AsyncIterator[bytes]:
        while True:
            message = await self._next(node, exchange)
            if message.get("body"):
                yield message["body"]
            if not message.get("more_body", False):
                return

    async def _next(self, node: Node, exchange: Exchange) -> dict[str, Any]:
        try:
            message = await exchange.receiver.receive()
        except anyio.EndOfStream as error:
            raise BrokenCallError(f"{node.address} hung up") from error
        if message.get("body"):
            await self.network.carry(node.address, len(message["body"]))
        await anyio.sleep(LATENCY)
        await self.network.wait_open(self.address, self.site, node)
        return message
