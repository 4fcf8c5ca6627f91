"""Calls to all agents of a large group go by way of some of them."""

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
    """Agents that answer queries, and who called whom."""

    def __init__(self, network: FakeNetwork, number: int) -> None:
        self.network = network
        self.called: Counter[tuple[str, str]] = Counter()
        self.addresses = [f"10.2.0.{n + 1}:9" for n in range(number)]
        for address in self.addresses:
            self._start(address)

    def _start(self, address: str) -> None:
        calls = GroupCaller(self.network.channel(address, "palermo"))

        async def answer(call: Call) -> None:
            asked = await call.read_json(RankQuery, 1000)
            silence = 2.0 if asked.with_counts else 1.0
            await call.reply_json(RankAnswer(True, planner_silence=silence))

        app = App([Route("POST", QUERY_PATH, answer), *calls.routes()])

        async def counted(scope: dict, receive: object, send: object) -> None:
            self.called[scope["client"][0], scope["path"]] += 1
            await app(scope, receive, send)

        self.network.listen(address, "palermo", counted)

    async def ask(self, calls: GroupCaller, counted: int) -> dict[str, RankAnswer]:
        """Ask all, the first ``counted`` of them for their counts too."""
        brief, full = RankQuery(1), RankQuery(1, with_counts=True)
        messages = {
            address: full if number < counted else brief
            for number, address in enumerate(self.addresses)
        }
        return await calls.call(QUERY_PATH, messages, RankAnswer, SECONDS)


async def in_group(number: int, play: object) -> None:
    async with anyio.create_task_group() as tasks:
        network = FakeNetwork(tasks)
        group = AgentGroup(network, number)
        await play(group, GroupCaller(network.channel(PLANNER, "palermo")))
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(("number", "own_calls"), [(12, 12), (63, 8), (129, 11)])
def test_planner_calls_as_many_agents_as_the_root_of_a_large_group(
    number: int, own_calls: int
) -> None:
    async def play(group: AgentGroup, calls: GroupCaller) -> None:
        answers = await group.ask(calls, counted=5)
        silences = [answers[address].planner_silence for address in group.addresses]
        assert silences == [2.0] * 5 + [1.0] * (number - 5)
        made = sum(n for (caller, _), n in group.called.items() if caller == PLANNER)
        assert made == own_calls

    run_virtual(in_group, number, play)


def test_agents_behind_one_that_is_frozen_answer_all_the_same() -> None:
    async def play(group: AgentGroup, calls: GroupCaller) -> None:
        frozen = sorted(group.addresses)[0]
        group.network.freeze(frozen, True)
        answers = await group.ask(calls, counted=0)
        assert set(answers) == set(group.addresses) - {frozen}
        group.called.clear()
        before = anyio.current_time()
        answers = await group.ask(calls, counted=0)
        assert set(answers) == set(group.addresses) - {frozen}
        assert anyio.current_time() - before <= SECONDS
        assert group.called[PLANNER, QUERY_PATH] == 0

    run_virtual(in_group, 63, play)


def test_agent_passes_on_nothing_but_the_calls_of_a_group() -> None:
    async def play(group: AgentGroup, calls: GroupCaller) -> None:
        request = RelayRequest("/peer/v1/exchange", [], 1.0)
        with pytest.raises(BrokenCallError, match="answered 400"):
            await call_json(
                calls.channel,
                group.addresses[0],
                "POST",
                RELAY_PATH,
                request,
                RelayAnswer,
                SECONDS,
            )

    run_virtual(in_group, 3, play)
