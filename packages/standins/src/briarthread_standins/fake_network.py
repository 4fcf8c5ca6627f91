"""An in-process network with fault injection."""

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
from briarthread_standins.fake_call import FakeCall

CONNECT_TIMEOUT_SECONDS = 1.0
LATENCY_SECONDS = 0.001
HEAD_BYTES = 250
"""Approximate size of the head of a message between briarthread processes."""


@dataclass(eq=False, slots=True)
class Node:
    """
    An application that listens at an address, and the calls in progress there.

    With ``accepts_late_calls`` off, a delayed copy of a call is lost if the process
    that it was sent to has gone, as with a TCP connection. A call to a ``suspended``
    node is accepted and read once it resumes.
    """

    address: str
    site: str
    app: Any
    accepts_late_calls: bool = True
    frozen: bool = False
    suspended: bool = False
    calls: dict[anyio.CancelScope, None] = field(default_factory=dict)


class FakeNetwork:
    """
    Carry calls between applications in one process.

    ``partitions`` holds the pairs of sites that cannot reach each other. Faults are
    counted by path, or by ``path@address`` for one address: ``lost_responses`` counts
    calls whose response is lost after the call took effect, ``duplicated_calls`` those
    that arrive a second time ``late_seconds`` after the first, and ``delayed_calls``
    those that fail for the caller and arrive only that much later. ``link_rate`` is
    the bandwidth of each address for sending, in bytes per second, 0 for no limit;
    messages of an address are sent one after the other.
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
        """Serve an application at an address."""
        self.nodes[address] = Node(address, site, app, accepts_late_calls)

    def close(self, address: str) -> None:
        """Remove the application at an address and cancel its calls."""
        node = self.nodes.pop(address, None)
        if node is not None:
            for scope in list(node.calls):
                scope.cancel()

    def freeze(self, address: str, frozen: bool) -> None:
        """Suspend or resume all traffic to and from an address."""
        node = self.nodes.get(address)
        if node is not None:
            node.frozen = frozen
        self._notify_change()

    def suspend(self, address: str, suspended: bool) -> None:
        """Suspend or resume the reading of new calls at an address."""
        self.nodes[address].suspended = suspended
        self._notify_change()

    def partition(self, first: str, second: str) -> None:
        """Partition two sites from each other."""
        self.partitions.add(frozenset((first, second)))

    def heal(self) -> None:
        """Remove all partitions between sites."""
        self.partitions.clear()
        self._notify_change()

    def channel(self, address: str, site: str) -> "FakeChannel":
        """Return a channel for calls of a process at an address."""
        return FakeChannel(self, address, site)

    def consume_fault(self, faults: dict[str, int], request: ChannelRequest) -> bool:
        """Return whether a call is subject to a counted fault, and decrement it."""
        for key in (request.path, f"{request.path}@{request.address}"):
            if faults.get(key, 0):
                faults[key] -= 1
                return True
        return False

    def is_reachable(self, address: str, site: str, node: Node) -> bool:
        """Return whether messages pass between a process and a node now."""
        own_node = self.nodes.get(address)
        if node.frozen or (own_node is not None and own_node.frozen):
            return False
        return frozenset((site, node.site)) not in self.partitions

    async def wait_until_reachable(self, address: str, site: str, node: Node) -> None:
        """Wait until messages pass between a process and a node."""
        while not self.is_reachable(address, site, node):
            await self.changed.wait()

    async def transmit(self, sender: str, size: int) -> None:
        """Wait until a message has left over its sender's link."""
        size += HEAD_BYTES
        self.sent_bytes[sender] += size
        if not self.link_rate:
            return
        now = anyio.current_time()
        free_at = max(self.link_free_at.get(sender, now), now) + size / self.link_rate
        self.link_free_at[sender] = free_at
        await anyio.sleep(free_at - now)

    def start_call(self, node: Node, fake_call: FakeCall) -> None:
        """Serve a call at a node in a separate task."""
        self.call_count += 1
        self.tasks.start_soon(self._serve, node, fake_call)

    def start_late_call(self, node: Node, fake_call: FakeCall) -> None:
        """Deliver a call after the delay, if a node then accepts it."""
        self.tasks.start_soon(self._serve_late, node, fake_call)

    async def _serve_late(self, sent_to: Node, fake_call: FakeCall) -> None:
        await anyio.sleep(self.late_seconds)
        node = self.nodes.get(sent_to.address)
        if node is sent_to or (node is not None and node.accepts_late_calls):
            await self._serve(node, fake_call)

    async def _serve(self, node: Node, fake_call: FakeCall) -> None:
        while node.suspended:
            await self.changed.wait()
        with anyio.CancelScope() as scope:
            node.calls[scope] = None
            try:
                await node.app(fake_call.scope, fake_call.receive, fake_call.send)
            except ResponseAborted as error:
                logger.debug("network: {}", error)
            finally:
                node.calls.pop(scope, None)
        fake_call.sender.close()

    def _notify_change(self) -> None:
        event, self.changed = self.changed, anyio.Event()
        event.set()


class FakeChannel:
    """A channel that calls nodes of the fake network from one address."""

    def __init__(self, network: FakeNetwork, address: str, site: str) -> None:
        self.network = network
        self.address = address
        self.site = site

    @asynccontextmanager
    async def stream(self, request: ChannelRequest) -> AsyncIterator[ChannelResponse]:
        """Send a call and return the response; see Channel."""
        node = await self._connect(request)
        fake_call = FakeCall(request, self.address)
        await self.network.transmit(self.address, len(request.body or b""))
        if self.network.consume_fault(self.network.delayed_calls, request):
            self.network.start_late_call(node, fake_call)
            raise BrokenCallError(f"fault injection: {request.path} delayed")
        self.network.start_call(node, fake_call)
        if self.network.consume_fault(self.network.duplicated_calls, request):
            self.network.start_late_call(node, FakeCall(request))
        try:
            head = await self._receive(node, fake_call)
            if self.network.consume_fault(self.network.lost_responses, request):
                raise BrokenCallError(
                    f"fault injection: response to {request.path} lost"
                )
            fields = tuple((k.decode(), v.decode()) for k, v in head["headers"])
            body = self._read_body(node, fake_call)
            yield ChannelResponse(head["status"], dict(fields), body, fields)
        finally:
            fake_call.disconnect()

    async def _connect(self, request: ChannelRequest) -> Node:
        await anyio.sleep(LATENCY_SECONDS)
        node = self.network.nodes.get(request.address)
        if node is None:
            raise ConnectionRefused(f"{request.address} refused the connection")
        if not self.network.is_reachable(self.address, self.site, node):
            await anyio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise RequestNotSentError(f"{request.address} is unreachable")
        return node

    async def _read_body(self, node: Node, fake_call: FakeCall) -> AsyncIterator[bytes]:
        while True:
            message = await self._receive(node, fake_call)
            if message.get("body"):
                yield message["body"]
            if not message.get("more_body", False):
                return

    async def _receive(self, node: Node, fake_call: FakeCall) -> dict[str, Any]:
        try:
            message = await fake_call.receiver.receive()
        except anyio.EndOfStream as error:
            raise BrokenCallError(f"{node.address} closed the connection") from error
        if message.get("body"):
            await self.network.transmit(node.address, len(message["body"]))
        await anyio.sleep(LATENCY_SECONDS)
        await self.network.wait_until_reachable(self.address, self.site, node)
        return message
