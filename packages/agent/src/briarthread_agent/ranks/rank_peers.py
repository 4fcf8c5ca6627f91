"""Calls to the agents of a group, and to engines whose agents are unresponsive."""

from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import replace
from typing import TypeVar

import anyio
from loguru import logger

from briarthread_agent.ranks.group_caller import GroupCaller
from briarthread_agent.ranks.group_view import GroupView, Member, build_view
from briarthread_common.core.exceptions import RankError
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.direct.rank_client import RankClient
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.rejected_rows import RejectedRows
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
from briarthread_common.utils.recent_failures import RecentFailures

T = TypeVar("T")
CALL_TIMEOUT_SECONDS = 0.6
"""Timeout of a call to an agent, which calls an engine on its own machine."""
STALLED_CALL_TIMEOUT_SECONDS = 0.3
"""
Timeout of a call to an agent while the group is stalled.

An agent that has frozen or crashed must not delay the group further; its engine is
queried instead.
"""
SKIP_AGENT_SECONDS = 0.7
"""
Time for which an agent that did not answer is skipped; its engine is queried.

A call to a machine without power takes ``CALL_TIMEOUT_SECONDS`` to fail, and a map
change makes half a dozen calls.
"""
SEARCH_INTERVAL_SECONDS = 2.0
"""
Minimum time between two searches for a missing rank in other groups.

A search calls the agents of all other groups as well. A rank that joins a group takes
longer than this to load any experts.
"""


class RankPeers:
    """
    Call the agents of one service's ranks, or those of one of its groups.

    The group of an agent's rank is read from the agent's last answer, or else from
    the list of instances, which is seconds old, and older while the platform is
    unavailable. A rank whose group is unknown may be in any group.
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
        self.skipped_agents = RecentFailures(SKIP_AGENT_SECONDS)
        self.targets_number = -1
        self.engines: dict[str, str] = {}
        self.rejected_rows = RejectedRows(
            "rank: invalid row of a target ignored, its engine is not called: {}"
        )

    def agents(self, group: str = ANY_GROUP) -> dict[str, Instance]:
        """Return the listed agents by name, all or those that may be in a group."""
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
        answer_type: type[T],
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> dict[str, T]:
        """Send each address its message; return the received answers by address."""
        return await self.caller.call(path, messages, answer_type, seconds)

    async def call_agent(
        self, address: str, path: str, message: object, answer_type: type[T]
    ) -> T | None:
        """Send a message to one address; return the answer or ``None``."""
        return (await self.call(path, {address: message}, answer_type)).get(address)

    def addresses(self, group: str = ANY_GROUP) -> list[str]:
        """Return the addresses of the agents of a group or of all groups."""
        return [row.address for row in self.agents(group).values()]

    async def view(
        self, group: str, query: RankQuery, counted: Collection[str] = ()
    ) -> GroupView:
        """
        Query the ranks of a group through their agents.

        Agents at the addresses ``counted`` are asked for the ranks' counts as well.
        If ranks of a serving group are missing, the engines of unresponsive agents
        are queried, and from time to time the agents of other groups, since a rank
        may have changed its group.
        """
        query = replace(query, group=group)
        with_counts = replace(query, with_counts=True)
        addresses = self.addresses(group)
        messages = {
            address: with_counts if address in counted else query
            for address in self.skipped_agents.without_recent(addresses)
        }
        answers = await self._query(messages)
        current = build_view(group, answers)
        if not current.incomplete:
            return current
        if current.members and not current.broken:
            without_answer = frozenset(addresses) - frozenset(answers)
            self.skipped_agents.add(*without_answer & messages.keys())
            answers |= await self._query_engines(without_answer, query)
            current = build_view(group, answers, without_answer)
        called = frozenset(addresses)
        others = [other for other in self.addresses() if other not in called]
        if not current.incomplete or not others or not self._is_search_due():
            return current
        answers |= await self._query(dict.fromkeys(others, query))
        return build_view(group, answers, current.unresponsive)

    def _is_search_due(self) -> bool:
        """Return whether a search in other groups is due, and record its time."""
        now = anyio.current_time()
        if now < self.last_search_at + SEARCH_INTERVAL_SECONDS:
            return False
        self.last_search_at = now
        return True

    async def _query(
        self, messages: Mapping[str, RankQuery], seconds: float = CALL_TIMEOUT_SECONDS
    ) -> dict[str, RankAnswer]:
        """Query agents for their ranks' states and record the reported groups."""
        answers = await self.call(QUERY_PATH, messages, RankAnswer, seconds)
        for address, answer in answers.items():
            if answer.state is not None:
                self.reported_groups[address] = answer.state.group
        return answers

    async def view_with_engines(self, group: str) -> GroupView:
        """
        Query the ranks of a group, through their engines if agents do not respond.

        An engine on another machine answers a few hundred milliseconds late and at a
        cost, so only ranks whose agents do not respond are queried that way.
        """
        addresses = self.addresses(group)
        query = RankQuery(group=group)
        answers = await self._query(
            dict.fromkeys(addresses, query), STALLED_CALL_TIMEOUT_SECONDS
        )
        without_answer = frozenset(addresses) - frozenset(answers)
        answers |= await self._query_engines(without_answer, query)
        return build_view(group, answers, without_answer)

    async def _query_engines(
        self, agents: Collection[str], query: RankQuery
    ) -> dict[str, RankAnswer]:
        """Query the engines that belong to some agents."""

        async def query_engine(engine: RankClient) -> RankAnswer:
            try:
                state = await engine.state()
                experts: list[list[int]] = []
                if query.with_experts:
                    experts = await engine.experts(state.map_version)
                return RankAnswer(True, state, experts=experts)
            except RankError as error:
                logger.info("rank: agent did not respond, engine failed: {}", error)
                return RankAnswer(True)

        answers = await self.call_engines(agents, query_engine)
        return dict.fromkeys(agents, RankAnswer(True)) | answers

    async def call_engines(
        self, agents: Collection[str], call: Callable[[RankClient], Awaitable[T]]
    ) -> dict[str, T]:
        """
        Run a call on the engine of each of some agents concurrently.

        Return the results by the agents' addresses. Agents without a listed engine
        are omitted.
        """
        results: dict[str, T] = {}

        async def call_engine(address: str, engine: RankClient) -> None:
            results[address] = await call(engine)

        async with anyio.create_task_group() as tasks:
            for address in sorted(agents):
                engine = self.engine_of_agent(address)
                if engine is None:
                    logger.info("rank: no engine listed for the agent at {}", address)
                else:
                    tasks.start_soon(call_engine, address, engine)
        return results

    def fallback_engine(self, member: Member, view: GroupView) -> RankClient | None:
        """Return the engine to call directly if a member's agent is unresponsive."""
        if member.address not in view.unresponsive:
            return None
        return self.engine_of_agent(member.address)

    def engine_of_agent(self, agent_address: str) -> RankClient | None:
        """Return the engine on the same machine as an agent."""
        self._refresh_engines()
        address = self.engines.get(host_of(agent_address))
        return (
            None if address is None else self.adapter.open_rank(self.channel, address)
        )

    def _refresh_engines(self) -> None:
        """Update the engines' addresses if the list of targets has changed."""
        if self.targets_number == self.targets.number:
            return
        self.targets_number = self.targets.number
        self.engines = {}
        self.rejected_rows.retain(self.targets.items)
        for name, raw in self.targets.items.items():
            target = self.rejected_rows.decode(name, raw, self.adapter.decode_target)
            if target is not None:
                self.engines.setdefault(host_of(target.address), target.address)
