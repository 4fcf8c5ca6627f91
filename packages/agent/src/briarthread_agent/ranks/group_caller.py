"""
Calls to all agents of a group, by way of some of them.

It answers groups of dozens to hundreds of ranks. A planner that calls each agent
itself is kept busy by nothing else, and the link of its instance fills: before
129 ranks one look took a quarter of a second of its processor and 90 KB. So the
agents are taken in bundles, and one agent of each calls the others of its batch
and joins their answers. An agent that does not do that is passed over for a
while, and those of its batch are called directly.
"""

import math
from collections.abc import Mapping
from typing import TypeVar

import anyio
import msgspec
from loguru import logger

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import ChannelError, RequestError
from briarthread_common.http.app import Route
from briarthread_common.http.call_many import call_many
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json
from briarthread_common.http.json_route import json_route
from briarthread_common.messages.rank_messages import (
    GROUP_PATHS,
    MAX_RANK_BODY,
    RELAY_PATH,
    RelayAnswer,
    RelayedMessage,
    RelayRequest,
)
from briarthread_common.utils.passed_over import PassedOver

T = TypeVar("T")
MAX_DIRECT_CALLS = 24
"""Agents up to which each is called directly: so many calls take some hundredths
of a second, and a detour would cost as much."""
MIN_RELAY_BATCH = 3
"""Agents under which a batch is called directly."""
RELAYED_TIMEOUT_SHARE = 0.6
"""Part of the time for a call that those who are called by way of another have."""
RELAY_EXCLUSION_SECONDS = 5.0
"""How long an agent that did not pass calls on is passed over."""


class GroupCaller:
    """Call the agents of one group and pass on the calls of others."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.excluded_relays = PassedOver(RELAY_EXCLUSION_SECONDS)

    def routes(self) -> list[Route]:
        """Return the routes of those who have calls passed on."""
        return [json_route(RELAY_PATH, RelayRequest, self.handle_relay, MAX_RANK_BODY)]

    async def call(
        self,
        path: str,
        messages: Mapping[str, object],
        answer: type[T],
        seconds: float,
    ) -> dict[str, T]:
        """Send each address its message; return the answers that came."""
        if len(messages) <= MAX_DIRECT_CALLS:
            return await call_many(
                self.channel, path, messages, answer, seconds, packed=True
            )
        answers: dict[str, T] = {}

        async def call_bundle(batch: list[str]) -> None:
            part = {address: messages[address] for address in batch}
            answers.update(await self._call_bundle(path, part, answer, seconds))

        async with anyio.create_task_group() as tasks:
            for batch in split_into_batches(messages):
                tasks.start_soon(call_bundle, batch)
        return answers

    async def _call_bundle(
        self, path: str, messages: dict[str, object], answer: type[T], seconds: float
    ) -> dict[str, T]:
        head = self._head(list(messages))
        if head is not None:
            try:
                return await self._call_through_relay(
                    head, path, messages, answer, seconds
                )
            except ChannelError as error:
                logger.info("rank: {} does not pass calls on: {}", head, error)
                self.excluded_relays.note(head)
        return await call_many(
            self.channel, path, messages, answer, seconds, packed=True
        )

    def _head(self, batch: list[str]) -> str | None:
        """Return the agent that is to call the others of a batch, if any."""
        sound = self.excluded_relays.others(batch)
        return sound[0] if sound and len(batch) >= MIN_RELAY_BATCH else None

    async def _call_through_relay(
        self,
        head: str,
        path: str,
        messages: dict[str, object],
        answer: type[T],
        seconds: float,
    ) -> dict[str, T]:
        relayed = RelayRequest(path, _joined(messages), seconds * RELAYED_TIMEOUT_SHARE)
        found = await call_json(
            self.channel,
            head,
            "POST",
            RELAY_PATH,
            relayed,
            RelayAnswer,
            seconds,
            packed=True,
        )
        answers: dict[str, T] = {}
        for address in messages.keys() & found.answers.keys():
            try:
                answers[address] = msgspec.json.decode(
                    found.answers[address], type=answer
                )
            except msgspec.MsgspecError as error:
                logger.info("rank: broken answer of {}: {}", address, error)
        return answers

    async def handle_relay(self, asked: RelayRequest) -> RelayAnswer:
        """Call others for another agent and join their answers."""
        if asked.path not in GROUP_PATHS:
            raise RequestError(ErrorKind.BAD_REQUEST, f"{asked.path} is not passed on")
        messages = {
            address: one.message for one in asked.messages for address in one.addresses
        }
        answers = await call_many(
            self.channel,
            asked.path,
            messages,
            msgspec.Raw,
            asked.seconds,
            packed=True,
        )
        return RelayAnswer(answers)


def split_into_batches(addresses: Mapping[str, object]) -> list[list[str]]:
    """
    Return addresses in about as many bundles as each has members.

    >>> addresses = {f"a{n:03}": 0 for n in range(129)}
    >>> [len(batch) for batch in split_into_batches(addresses)]
    [12, 12, 12, 12, 12, 12, 12, 12, 12, 12, 9]
    """
    ordered = sorted(addresses)
    size = math.ceil(math.sqrt(len(ordered)))
    return [ordered[start : start + size] for start in range(0, len(ordered), size)]


def _joined(messages: dict[str, object]) -> list[RelayedMessage]:
    """Return messages with all addresses that get the same one."""
    by_identity: dict[int, tuple[object, list[str]]] = {}
    for address, message in messages.items():
        by_identity.setdefault(id(message), (message, []))[1].append(address)
    return [
        RelayedMessage(addresses, msgspec.Raw(msgspec.json.encode(message)))
        for message, addresses in by_identity.values()
    ]
