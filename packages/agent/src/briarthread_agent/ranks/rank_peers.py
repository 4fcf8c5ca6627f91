"""Calls to the agents of a group, and to engines whose agents are silent."""

from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import replace
from typing import TypeVar

import anyio
from loguru import logger

from briarthread_agent.ranks.group_caller import GroupCaller
from briarthread_agent.ranks.group_view import GroupView, Member, build_view
from briarthread_common.core.exceptions import DecodeError, RankError
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.direct.rank_client import RankClient
from briarthread_common.feeds.feed import Feed
from briarthread_common.http.channel import Channel
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.messages.rank_messages import (
    ANY_GROUP,
    QUERY_PATH,
    RankAnswer,
    RankQuery,
)
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.host_of import host_of
from briarthread_common.utils.passed_over import PassedOver

T = TypeVar("T")
CALL_TIMEOUT_SECONDS = 0.6
"""Longest wait for an agent, which asks an engine on its own machine."""
STALLED_CALL_TIMEOUT_SECONDS = 0.3
"""The same while the group stands still, when an agent that is frozen or dead
must not keep it waiting; its engine is asked then."""
SKIP_AGENT_SECONDS = 0.7
"""How long an agent that did not answer is not called while its engine answers. A
call to a machine without power takes ``CALL_TIMEOUT_SECONDS`` to fail, and a map
change makes half a dozen calls."""
SEARCH_INTERVAL_SECONDS = 2.0
"""Least time between two looks for a missing rank among agents of other groups,
which are as many calls again; a rank that joins takes longer to load anything."""


class RankPeers:
    """
    Reach the agents of the ranks of one service, those of one group by its name.

    The list of instances says which group an agent's rank is in, and what an agent
    answers goes before it: the list is seconds old, and older while the platform is
    away. One of which neither says a group may be in any.
    """

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
        self.caller = GroupCaller(channel)
        self.reported_groups: dict[str, str] = {}
        self.last_search_at = float("-inf")
        self.skipped_agents = PassedOver(SKIP_AGENT_SECONDS)
        self.targets_number = -1
        self.engines: dict[str, str] = {}

    def agents(self, group: str = ANY_GROUP) -> dict[str, Instance]:
        """Return the listed agents by name, all or those that may be of a group."""
        return {
            name: row
            for name, row in self.directory.of_role(InstanceRole.TARGET).items()
            if row.service == self.service and self._may_be_in(row, group)
        }

    def _may_be_in(self, row: Instance, group: str) -> bool:
        known = self.reported_groups.get(row.address, row.group)
        return ANY_GROUP in (group, known) or known == group

    async def call(
        self,
        path: str,
        messages: Mapping[str, object],
        answer: type[T],
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> dict[str, T]:
        """Send each address its message; return the answers that came."""
        return await self.caller.call(path, messages, answer, seconds)

    async def call_agent(
        self, address: str, path: str, message: object, answer: type[T]
    ) -> T | None:
        """Send one address a message; return the answer, ``None`` without one."""
        return (await self.call(path, {address: message}, answer)).get(address)

    def addresses(self, group: str = ANY_GROUP) -> list[str]:
        """Return where the agents of a group, or of all, are called."""
        return [row.address for row in self.agents(group).values()]

    async def view(
        self, group: str, query: RankQuery, counted: Collection[str] = ()
    ) -> GroupView:
        """
        Return what the ranks of a group say, through their agents.

        Those at the addresses ``counted`` are asked for their counts as well.
        Where ranks are missing of a group that serves, their engines are asked in
        the place of silent agents, and now and then agents of other groups: a rank
        may have changed its group.
        """
        query = replace(query, group=group)
        with_counts = replace(query, with_counts=True)
        addresses = self.addresses(group)
        messages = {
            address: with_counts if address in counted else query
            for address in self.skipped_agents.others(addresses)
        }
        answers = await self._query(messages)
        found = build_view(group, answers)
        if not found.incomplete:
            return found
        if found.members and not found.broken:
            silent = frozenset(addresses) - frozenset(answers)
            self.skipped_agents.note(*silent & messages.keys())
            answers |= await self._ask_engines(silent, query)
            found = build_view(group, answers, silent)
        others = set(self.addresses()) - set(addresses)
        if not found.incomplete or not others or not self._may_search():
            return found
        answers |= await self._query(dict.fromkeys(others, query))
        return build_view(group, answers, found.unresponsive)

    def _may_search(self) -> bool:
        """Tell whether a rank may be looked for in other groups, once in a while."""
        now = anyio.current_time()
        if now < self.last_search_at + SEARCH_INTERVAL_SECONDS:
            return False
        self.last_search_at = now
        return True

    async def _query(
        self, messages: Mapping[str, RankQuery], seconds: float = CALL_TIMEOUT_SECONDS
    ) -> dict[str, RankAnswer]:
        """Ask agents for their ranks' states, and note the groups that they say."""
        answers = await self.call(QUERY_PATH, messages, RankAnswer, seconds)
        for address, answer in answers.items():
            if answer.state is not None:
                self.reported_groups[address] = answer.state.group
        return answers

    async def view_with_engines(self, group: str) -> GroupView:
        """
        Return what the ranks of a group say, whether their agents live or not.

        An engine asked from afar answers some hundred milliseconds late and
        for a price; only ranks without an agent are asked that way.
        """
        addresses = self.addresses(group)
        query = RankQuery(group=group)
        answers = await self._query(
            dict.fromkeys(addresses, query), STALLED_CALL_TIMEOUT_SECONDS
        )
        silent = frozenset(addresses) - frozenset(answers)
        answers |= await self._ask_engines(silent, query)
        return build_view(group, answers, silent)

    async def _ask_engines(
        self, agents: Collection[str], query: RankQuery
    ) -> dict[str, RankAnswer]:
        """Return what the engines beside some agents say."""

        async def ask(engine: RankClient) -> RankAnswer:
            try:
                experts = await engine.experts() if query.with_experts else []
                return RankAnswer(True, await engine.state(), experts=experts)
            except RankError as error:
                logger.info("rank: neither agent nor engine answers: {}", error)
                return RankAnswer(True)

        answers = await self.call_engines(agents, ask)
        return dict.fromkeys(agents, RankAnswer(True)) | answers

    async def call_engines(
        self, agents: Collection[str], call: Callable[[RankClient], Awaitable[T]]
    ) -> dict[str, T]:
        """
        Make a call at the engine beside each of some agents, all at a time.

        Return what came of it by the agents' addresses; those beside which no engine
        is listed are left out.
        """
        found: dict[str, T] = {}

        async def call_one(address: str, engine: RankClient) -> None:
            found[address] = await call(engine)

        async with anyio.create_task_group() as tasks:
            for address in agents:
                engine = self.engine_of_agent(address)
                if engine is None:
                    logger.info("rank: no engine is listed beside {}", address)
                else:
                    tasks.start_soon(call_one, address, engine)
        return found

    def fallback_engine(self, member: Member, view: GroupView) -> RankClient | None:
        """Return the engine to order in the place of an agent without an answer."""
        if member.address not in view.unresponsive:
            return None
        return self.engine_of_agent(member.address)

    def engine_of_agent(self, agent_address: str) -> RankClient | None:
        """Return the engine on the machine of an agent."""
        self._refresh_engines()
        address = self.engines.get(host_of(agent_address))
        return (
            None if address is None else self.adapter.open_rank(self.channel, address)
        )

    def _refresh_engines(self) -> None:
        """Take over the listed targets, once a version of the list."""
        if self.targets_number == self.targets.number:
            return
        self.targets_number = self.targets.number
        self.engines = {}
        for name, raw in self.targets.items.items():
            try:
                address = self.adapter.decode_target(name, raw).address
            except DecodeError:
                continue
            self.engines.setdefault(host_of(address), address)
