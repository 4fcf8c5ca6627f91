"""Calls to the agents of a group, and to engines whose agents are silent."""

from collections.abc import Collection, Mapping
from dataclasses import replace
from typing import TypeVar

import anyio
from loguru import logger

from briarthread_agent.ranks.group_calls import GroupCalls
from briarthread_agent.ranks.group_view import GroupView, build_view
from briarthread_common.core.exceptions import DecodeError, RankError
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.direct.rank_client import RankClient
from briarthread_common.feeds.feed import Feed
from briarthread_common.http.channel import Channel
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.messages.rank_messages import (
    QUERY_PATH,
    RankAnswer,
    RankQuery,
)
from briarthread_common.spread.directory import Directory

T = TypeVar("T")
CALL_SECONDS = 0.6
"""Longest wait for an agent, which asks an engine on its own machine."""
SILENT_SECONDS = 0.3
"""The same while the group stands still, when an agent that is frozen or dead
must not keep it waiting; its engine is asked then."""


class RankPeers:
    """Reach the agents of the ranks of one service."""

    def __init__(
        self,
        service: str,
        directory: Directory,
        targets: Feed,
        adapter: PlatformAdapter,
        channel: Channel,
    ) -> None:
        self.service = service
        self.directory = directory
        self.targets = targets
        self.adapter = adapter
        self.channel = channel
        self.calls = GroupCalls(channel)

    def agents(self) -> dict[str, Instance]:
        """Return the listed agents of the service by name."""
        return {
            name: row
            for name, row in self.directory.of_role(InstanceRole.TARGET).items()
            if row.service == self.service
        }

    async def call(
        self,
        path: str,
        messages: Mapping[str, object],
        answer: type[T],
        seconds: float = CALL_SECONDS,
    ) -> dict[str, T]:
        """Send each address its message; return the answers that came."""
        return await self.calls.call(path, messages, answer, seconds)

    async def ask(
        self, address: str, path: str, message: object, answer: type[T]
    ) -> T | None:
        """Send one address a message; return the answer, ``None`` without one."""
        return (await self.call(path, {address: message}, answer)).get(address)

    def addresses(self) -> list[str]:
        """Return where the agents of the service are called."""
        return [row.address for row in self.agents().values()]

    async def view(
        self, group: str, query: RankQuery, counted: Collection[str] = ()
    ) -> GroupView:
        """
        Return what the ranks of a group say, through their agents.

        Those at the addresses ``counted`` are asked for their counts as well.
        """
        with_counts = replace(query, with_counts=True)
        messages = {
            address: with_counts if address in counted else query
            for address in self.addresses()
        }
        return build_view(group, await self.call(QUERY_PATH, messages, RankAnswer))

    async def view_with_engines(self, group: str) -> GroupView:
        """
        Return what the ranks of a group say, whether their agents live or not.

        An engine asked from afar answers some hundred milliseconds late and
        for a price; only ranks without an agent are asked that way.
        """
        addresses = self.addresses()
        answers = await self.call(
            QUERY_PATH,
            dict.fromkeys(addresses, RankQuery()),
            RankAnswer,
            SILENT_SECONDS,
        )
        silent = frozenset(addresses) - frozenset(answers)

        async def ask_engine(address: str) -> None:
            answers[address] = await self._ask_engine(address)

        async with anyio.create_task_group() as tasks:
            for address in silent:
                tasks.start_soon(ask_engine, address)
        return build_view(group, answers, silent)

    def engine_beside(self, agent_address: str) -> RankClient | None:
        """Return the engine on the machine of an agent."""
        host = agent_address.rpartition(":")[0]
        for name, raw in self.targets.items.items():
            try:
                target = self.adapter.decode_target(name, raw)
            except DecodeError:
                continue
            if target.address.rpartition(":")[0] == host:
                return self.adapter.open_rank(self.channel, target.address)
        return None

    async def _ask_engine(self, agent_address: str) -> RankAnswer:
        engine = self.engine_beside(agent_address)
        if engine is None:
            logger.info("rank: no engine is listed beside {}", agent_address)
            return RankAnswer(True)
        try:
            return RankAnswer(True, await engine.state())
        except RankError as error:
            logger.info("rank: neither agent nor engine answers: {}", error)
            return RankAnswer(True)
