"""
Calls to all agents of a group, relayed by some of them.

Groups may have dozens to hundreds of ranks. A planner that called every agent itself
would do nothing else, and the link of its instance would fill up: with 129 ranks one
poll took a quarter of a second of processor time and 90 KB. The agents are therefore
split into batches, and one agent of each batch, the relay, calls the others and merges
their answers. An agent that fails to relay calls is not used as a relay for a while,
and the agents of its batch are called directly.
"""

import math
from collections.abc import Mapping
from typing import TypeVar

import anyio
import msgspec
from loguru import logger

from briarthread_common.core.decoding import decode_json
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import (
    ChannelError,
    DecodeError,
    RequestError,
)
from briarthread_common.http.app import Route
from briarthread_common.http.call_many import call_many
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json
from briarthread_common.http.json_route import json_route
from briarthread_common.messages.rank_messages import (
    MAX_RANK_BODY_BYTES,
    RELAY_PATH,
    RELAYED_PATHS,
    RelayAnswer,
    RelayedMessage,
    RelayRequest,
)
from briarthread_common.utils.recent_failures import RecentFailures

T = TypeVar("T")
MAX_DIRECT_CALLS = 24
"""
Number of agents up to which each is called directly.

That many calls take a few hundredths of a second, and relaying would cost as much.
"""
MIN_RELAY_BATCH = 3
"""Number of agents below which a batch is called directly."""
RELAYED_TIMEOUT_SHARE = 0.6
"""Share of the timeout of a call that a relay has for calling its batch."""
RELAY_EXCLUSION_SECONDS = 5.0
"""Time for which an agent that failed as a relay is not used as one."""


class GroupCaller:
    """Call the agents of one group and relay the calls of other agents."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.excluded_relays = RecentFailures(RELAY_EXCLUSION_SECONDS)

    def routes(self) -> list[Route]:
        """Return the route on which other agents request that calls be relayed."""
        return [
            json_route(RELAY_PATH, RelayRequest, self.handle_relay, MAX_RANK_BODY_BYTES)
        ]

    async def call(
        self,
        path: str,
        messages: Mapping[str, object],
        answer_type: type[T],
        seconds: float,
    ) -> dict[str, T]:
        """Send each address its message; return the received answers by address."""
        if len(messages) <= MAX_DIRECT_CALLS:
            return await call_many(
                self.channel, path, messages, answer_type, seconds, compressed=True
            )
        answers: dict[str, T] = {}

        async def call_and_merge(batch: list[str]) -> None:
            batch_messages = {address: messages[address] for address in batch}
            answers.update(
                await self._call_batch(path, batch_messages, answer_type, seconds)
            )

        async with anyio.create_task_group() as tasks:
            for batch in split_into_batches(messages):
                tasks.start_soon(call_and_merge, batch)
        return answers

    async def _call_batch(
        self,
        path: str,
        messages: dict[str, object],
        answer_type: type[T],
        seconds: float,
    ) -> dict[str, T]:
        relay = self._choose_relay(list(messages))
        if relay is not None:
            try:
                return await self._call_through_relay(
                    relay, path, messages, answer_type, seconds
                )
            except ChannelError as error:
                logger.info("rank: {} failed to relay calls: {}", relay, error)
                self.excluded_relays.add(relay)
        return await call_many(
            self.channel, path, messages, answer_type, seconds, compressed=True
        )

    def _choose_relay(self, batch: list[str]) -> str | None:
        """Return the agent that is to relay calls to a batch, or ``None``."""
        candidates = self.excluded_relays.without_recent(batch)
        return candidates[0] if candidates and len(batch) >= MIN_RELAY_BATCH else None

    async def _call_through_relay(
        self,
        relay: str,
        path: str,
        messages: dict[str, object],
        answer_type: type[T],
        seconds: float,
    ) -> dict[str, T]:
        relay_request = RelayRequest(
            path, _group_by_message(messages), seconds * RELAYED_TIMEOUT_SHARE
        )
        relay_answer = await call_json(
            self.channel,
            relay,
            "POST",
            RELAY_PATH,
            relay_request,
            RelayAnswer,
            seconds,
            compressed=True,
        )
        answers: dict[str, T] = {}
        for address in messages.keys() & relay_answer.answers.keys():
            try:
                answers[address] = decode_json(
                    relay_answer.answers[address], answer_type
                )
            except DecodeError as error:
                logger.info("rank: invalid answer from {}: {}", address, error)
        return answers

    async def handle_relay(self, request: RelayRequest) -> RelayAnswer:
        """Call agents on behalf of another one and return their answers."""
        if request.path not in RELAYED_PATHS:
            raise RequestError(ErrorKind.BAD_REQUEST, f"{request.path} is not relayed")
        messages = {
            address: relayed.message
            for relayed in request.messages
            for address in relayed.addresses
        }
        answers = await call_many(
            self.channel,
            request.path,
            messages,
            msgspec.Raw,
            request.seconds,
            compressed=True,
        )
        return RelayAnswer(answers)


def split_into_batches(addresses: Mapping[str, object]) -> list[list[str]]:
    """
    Split addresses into about as many batches as each batch has members.

    >>> addresses = {f"a{n:03}": 0 for n in range(129)}
    >>> [len(batch) for batch in split_into_batches(addresses)]
    [12, 12, 12, 12, 12, 12, 12, 12, 12, 12, 9]
    """
    ordered = sorted(addresses)
    size = math.ceil(math.sqrt(len(ordered)))
    return [ordered[start : start + size] for start in range(0, len(ordered), size)]


def _group_by_message(messages: dict[str, object]) -> list[RelayedMessage]:
    """Group addresses that are sent the same message object."""
    by_object_id: dict[int, tuple[object, list[str]]] = {}
    for address, message in messages.items():
        by_object_id.setdefault(id(message), (message, []))[1].append(address)
    return [
        RelayedMessage(addresses, msgspec.Raw(msgspec.json.encode(message)))
        for message, addresses in by_object_id.values()
    ]
