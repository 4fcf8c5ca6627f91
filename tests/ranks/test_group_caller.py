"""Calls to all agents of a large group are relayed by some of them."""

from collections import Counter

import anyio
import pytest

from briarthread_agent.ranks.group_caller import GroupCaller
from briarthread_common.core.exceptions import BrokenCallError
from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.http.channel_calls import call_json
from briarthread_common.messages.rank_messages import (
    QUERY_PATH,
    RELAY_PATH,
    RankAnswer,
    RankQuery,
    RelayAnswer,
    RelayRequest,
)
from briarthread_standins.fake_network import FakeNetwork
from briarthread_standins.virtual_time import run_virtual

PLANNER = "10.3.0.1:9"
SECONDS = 0.6


class AgentGroup:
    """Agents that answer queries, with counters of the calls between them."""

    def __init__(self, network: FakeNetwork, number: int) -> None:
        self.network = network
        self.called: Counter[tuple[str, str]] = Counter()
        self.addresses = [f"10.2.0.{n + 1}:9" for n in range(number)]
        for address in self.addresses:
            self._start(address)

    def _start(self, address: str) -> None:
        caller = GroupCaller(self.network.channel(address, "palermo"))

        async def answer(call: Call) -> None:
            request = await call.read_json(RankQuery, 1000)
            silence = 2.0 if request.with_counts else 1.0
            await call.reply_json(RankAnswer(True, planner_silence=silence))

        app = App([Route("POST", QUERY_PATH, answer), *caller.routes()])

        async def counted(scope: dict, receive: object, send: object) -> None:
            self.called[scope["client"][0], scope["path"]] += 1
            await app(scope, receive, send)

        self.network.listen(address, "palermo", counted)

    async def ask(self, caller: GroupCaller, counted: int) -> dict[str, RankAnswer]:
        """Query all agents, the first ``counted`` of them for their counts too."""
        brief, full = RankQuery(1), RankQuery(1, with_counts=True)
        messages = {
            address: full if number < counted else brief
            for number, address in enumerate(self.addresses)
        }
        return await caller.call(QUERY_PATH, messages, RankAnswer, SECONDS)


async def run_in_group(number: int, scenario: object) -> None:
    async with anyio.create_task_group() as tasks:
        network = FakeNetwork(tasks)
        group = AgentGroup(network, number)
        await scenario(group, GroupCaller(network.channel(PLANNER, "palermo")))
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(("number", "planner_calls"), [(12, 12), (63, 8), (129, 11)])
def test_planner_calls_the_square_root_of_the_agents_of_a_large_group(
    number: int, planner_calls: int
) -> None:
    async def scenario(group: AgentGroup, caller: GroupCaller) -> None:
        answers = await group.ask(caller, counted=5)
        silences = [answers[address].planner_silence for address in group.addresses]
        assert silences == [2.0] * 5 + [1.0] * (number - 5)
        call_count = sum(
            n for (source, _), n in group.called.items() if source == PLANNER
        )
        assert call_count == planner_calls

    run_virtual(run_in_group, number, scenario)


def test_agents_of_a_batch_are_reached_if_its_relay_is_frozen() -> None:
    async def scenario(group: AgentGroup, caller: GroupCaller) -> None:
        frozen = sorted(group.addresses)[0]
        group.network.freeze(frozen, True)
        answers = await group.ask(caller, counted=0)
        assert set(answers) == set(group.addresses) - {frozen}
        group.called.clear()
        before = anyio.current_time()
        answers = await group.ask(caller, counted=0)
        assert set(answers) == set(group.addresses) - {frozen}
        assert anyio.current_time() - before <= SECONDS
        assert group.called[PLANNER, QUERY_PATH] == 0

    run_virtual(run_in_group, 63, scenario)


def test_agent_relays_only_the_calls_of_a_group() -> None:
    async def scenario(group: AgentGroup, caller: GroupCaller) -> None:
        request = RelayRequest("/peer/v1/exchange", [], 1.0)
        with pytest.raises(BrokenCallError, match="answered 400"):
            await call_json(
                caller.channel,
                group.addresses[0],
                "POST",
                RELAY_PATH,
                request,
                RelayAnswer,
                SECONDS,
            )

    run_virtual(run_in_group, 3, scenario)
