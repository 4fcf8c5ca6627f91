"""What one engine or peer reports ends no agent and no entry, whatever it is."""

import random
from typing import Any

import anyio
import msgspec
import pytest
from direct_builders import run_in_direct_world, run_in_group_world

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.spread.feed_replicator import EXCHANGE_PATH
from briarthread_standins.direct_agents import GroupWorld
from briarthread_standins.direct_world import DirectWorld

UNUSUAL_VALUES: list[Any] = [
    None,
    -1,
    0,
    1,
    7,
    10**17,
    10**30,
    10**400,
    0.5,
    1e300,
    "",
    "x",
    "\u82b1",
    [],
    [[]],
    [-1],
    [10**17],
    [[99]],
    [[99], [99]],
    {},
    {"version": 3, "step": 10**17},
    {"a": {"b": []}},
    True,
]
DEEP = "[" * 1500 + "]" * 1500


def change_somewhere(rng: random.Random, value: Any) -> Any:
    """Return a copy of a JSON value in which one part is unusual."""
    if isinstance(value, dict) and value and rng.random() < 0.8:
        name = rng.choice(sorted(value))
        return {**value, name: change_somewhere(rng, value[name])}
    if isinstance(value, list) and value and rng.random() < 0.5:
        position = rng.randrange(len(value))
        changed = change_somewhere(rng, value[position])
        return [*value[:position], changed, *value[position + 1 :]]
    return rng.choice(UNUSUAL_VALUES)


class ChangedReports:
    """Answer like an engine, but change each report somewhere."""

    def __init__(self, app: App, rng: random.Random) -> None:
        self.app = app
        self.rng = rng
        self.changed = True

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Handle one ASGI call."""
        parts: list[bytes] = []

        async def hold(message: dict) -> None:
            if message["type"] == "http.response.start":
                parts.append(message)
            else:
                parts.append(message["body"])

        if not self.changed or scope["method"] != "GET":
            await self.app(scope, receive, send)
            return
        await self.app(scope, receive, hold)
        start, body = parts[0], b"".join(parts[1:])
        value = change_somewhere(self.rng, msgspec.json.decode(body))
        raw = msgspec.json.encode(value) if value != 10**400 else DEEP.encode()
        headers = [pair for pair in start["headers"] if pair[0] != b"content-length"]
        headers.append((b"content-length", str(len(raw)).encode()))
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": raw})


@pytest.mark.parametrize("seed", range(8))
def test_engine_with_unusual_reports_ends_no_agent(seed: int) -> None:
    """Guards against a report that ends its reader, and again at each start."""

    async def scenario(world: GroupWorld) -> None:
        engine = ChangedReports(world.group.app(1), random.Random(seed))
        world.network.listen(world.engine_address(1), "palermo", engine)
        await anyio.sleep(10)
        world.kill_agent(2)
        world.start_agent(2)
        await anyio.sleep(5)
        world.kill_agent(1)
        await anyio.sleep(5)
        world.start_agent(1)
        engine.changed = False
        await anyio.sleep(10)
        assert not world.group.violations
        states = [await agent.controller.own_state() for agent in world.agents.values()]
        assert sorted(state.rank for state in states) == [0, 1, 2, 3]

    run_in_group_world(scenario)


@pytest.mark.parametrize(
    "raw",
    [
        DEEP,
        '{"versions":{"op":' + "9" * 400 + "}}",
        '{"versions":{"routes":0},"patches":[{"feed":"routes","base":0,"number":'
        + "9" * 400
        + ',"changes":{}}]}',
        '{"running":{"diary-0":' + "9" * 400 + "}}",
        '{"demand":{"diary":{"' + "9" * 400 + '":1}}}',
        '{"starts":{"diary-0":' + "9" * 400 + '},"leaving":["diary-0"]}',
        '{"note":' + DEEP + "}",
    ],
)
def test_peer_with_unusual_answers_ends_no_entry(raw: str) -> None:
    """Guards against an answer that ends the process of the one that asked."""

    async def scenario(world: DirectWorld) -> None:
        async def answer(call: Call) -> None:
            await call.reply(200, raw.encode() + b"\n")

        peer = App([Route("*", EXCHANGE_PATH, answer), Route("*", "/", answer)])
        world.network.listen("10.1.0.99:9", "palermo", peer)
        row = {
            "name": "entry-0",
            "data_centre": "palermo",
            "address": "10.1.0.99:9",
            "role": "entry",
        }
        world.store.put("instances", "entry-0", row)
        await anyio.sleep(5)
        world.add_entry("entry-2")
        await anyio.sleep(5)
        for name in world.entries:
            assert (await world.call(name, "/list/1")).status == 200

    run_in_direct_world(scenario)
