"""Invalid rows of other writers: each one is ignored, and all others stay valid."""

import base64
import json
from typing import Any

import anyio
import msgspec
import pytest
from direct_builders import DIARY, build_config, run_in_direct_world, run_in_group_world
from hypothesis import given, settings
from hypothesis import strategies as st

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.feeds.feed import Feed
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.host_of import host_of
from briarthread_platform.adapter import ADAPTER
from briarthread_platform.store import Row, _decode_rows
from briarthread_standins.direct_agents import GroupWorld
from briarthread_standins.direct_world import DirectWorld

MAX_EXAMPLES = 1500
VALID_ROW = {
    "service": DIARY,
    "address": "10.9.0.1:80",
    "zone": "palermo",
    "slots": 6,
    "state": "ready",
}
UNUSUAL_VALUES: list[Any] = [
    None,
    "",
    "x",
    0,
    -1,
    1.5,
    10**30,
    True,
    [],
    {},
    "10.9.0.1",
    "a:b",
    "10.9.0.1:" + "9" * 5000,
    10**400,
]
DEEP = "[" * 1500 + "]" * 1500
"""Arrays within each other, more than the interpreter's stack allows."""
UNREADABLE_ROWS = [
    f'{{"note":{DEEP}}}',
    json.dumps({**VALID_ROW, "address": "10.9.0.1:" + "9" * 5000}),
    json.dumps({**VALID_ROW, "slots": 10**400}),
    json.dumps({**VALID_ROW, "born": 10**400}),
    json.dumps(VALID_ROW).replace("}", f', "note":{DEEP}}}'),
    json.dumps(VALID_ROW).replace("6", "9" * 5000),
]
"""Rows whose decoding raises errors other than those of the JSON decoder."""
UNREADABLE_INSTANCES = [
    f'{{"note":{DEEP}}}',
    *(
        msgspec.json.encode(
            Instance("odd", "palermo", address, role, DIARY, group="g")
        ).decode()
        for address in ("nowhere", "10.1.0.77:" + "9" * 5000, "10.1.0.77:\u00b2", "")
        for role in InstanceRole
    ),
]
"""Rows of our own table as another writer may write them."""
ANY_JSON_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*VALID_ROW, "coldLeftMs", "x"]), inner, max_size=6
        )
    ),
    max_leaves=8,
)
ROWS = st.one_of(
    st.text(max_size=60),
    ANY_JSON_VALUE.map(lambda value: json.dumps(value)),
    st.integers(0, 1500).map(lambda n: f'{{"note":{"[" * n}{"]" * n}}}'),
    st.tuples(
        st.sampled_from([*VALID_ROW, "coldLeftMs"]), st.sampled_from(UNUSUAL_VALUES)
    ).map(lambda change: json.dumps({**VALID_ROW, change[0]: change[1]})),
)


@given(ROWS)
@settings(max_examples=MAX_EXAMPLES, derandomize=True, deadline=None)
def test_any_row_is_decoded_into_a_valid_target_or_rejected(row: str) -> None:
    try:
        target = ADAPTER.decode_target("t-1", row)
    except DecodeError:
        return
    host, _, port = target.address.rpartition(":")
    assert host_of(target.address) == host
    assert 0 < int(port) < 65536
    assert target.slots >= 0
    assert 0 <= target.warmup_seconds < float("inf")


@given(ROWS)
@settings(max_examples=MAX_EXAMPLES, derandomize=True, deadline=None)
def test_any_config_is_decoded_or_rejected(row: str) -> None:
    try:
        ADAPTER.decode_routes({"config": row})
    except DecodeError:
        return


@given(st.text(max_size=40))
@settings(max_examples=MAX_EXAMPLES, derandomize=True, deadline=None)
def test_any_value_of_the_store_is_decoded_as_text(value: str) -> None:
    decoded = _decode_rows(
        [Row("good", base64.b64encode(b"x").decode()), Row("odd", value)]
    )
    assert decoded["good"] == "x"
    assert isinstance(decoded["odd"], str)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "unknown"},
        {"state": ""},
        {"state": "READY"},
        {"service": "unknown"},
        {"service": ""},
        {"service": 1},
        {"zone": ""},
        {"zone": None},
        {"slots": None},
        {"version": []},
        {"version": None},
        {"seq": "4"},
        {"seq": {}},
        {"coldLeftMs": "0"},
        {"coldLeftMs": -1},
        {"born": "1764756000123"},
        {"born": 1.5},
    ],
)
def test_row_of_another_writer_names_no_target_to_use(change: dict[str, Any]) -> None:
    """Guards against requests to an address that only a foreign row names."""

    async def scenario(world: DirectWorld) -> None:
        worker = world.add_worker("odd", DIARY, listed=False)
        row = {**VALID_ROW, "address": world.addresses["odd"], **change}
        world.store.put("servers", "odd", row)
        await anyio.sleep(2)
        async with anyio.create_task_group() as callers:
            for _ in range(30):
                callers.start_soon(world.call, "entry-1", "/list/1")
        assert not worker.arrivals

    run_in_direct_world(scenario, diaries=1)


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state"])
def test_row_with_a_missing_field_names_no_target(field: str) -> None:
    """Guards against defaults for fields without which a target is not known."""
    row = {name: value for name, value in VALID_ROW.items() if name != field}
    with pytest.raises(DecodeError):
        ADAPTER.decode_target("t-1", json.dumps(row))


@pytest.mark.parametrize("field", ["service", "zone", "state", "version"])
def test_row_with_unreadable_bytes_names_no_target_to_use(field: str) -> None:
    """Guards against bytes that are replaced by characters and then accepted."""

    async def scenario(world: DirectWorld) -> None:
        worker = world.add_worker("odd", DIARY, listed=False)
        row = {**VALID_ROW, "address": world.addresses["odd"], "version": "v"}
        raw = json.dumps({**row, field: f"{row[field]}@"}).encode()
        world.store.put("servers", "odd", raw.replace(b"@", b"\xff"))
        await anyio.sleep(2)
        states = world.entries["entry-1"].registry.states
        assert "odd" not in states
        async with anyio.create_task_group() as callers:
            for _ in range(30):
                callers.start_soon(world.call, "entry-1", "/list/1")
        assert not worker.arrivals

    run_in_direct_world(scenario, diaries=1)


def test_rejected_row_is_decoded_once_while_it_is_unchanged() -> None:
    """Guards against a log line for each odd row at each version of the list."""

    async def scenario(world: DirectWorld) -> None:
        registry = world.entries["entry-1"].registry
        for number in range(50):
            world.store.put("servers", f"odd-{number}", ["odd"])
        await anyio.sleep(2)
        adapter, decoded = registry.adapter, []

        class CountingAdapter:
            def decode_target(self, name: str, row: str) -> object:
                decoded.append(name)
                return adapter.decode_target(name, row)

        registry.adapter = CountingAdapter()
        world.register_worker("diary-0", DIARY, state="draining")
        await anyio.sleep(2)
        assert decoded == ["diary-0"]
        for number in range(50):
            world.store.delete("servers", f"odd-{number}")
        await anyio.sleep(2)
        assert not registry.rejected_rows

    run_in_direct_world(scenario, diaries=1)


@pytest.mark.parametrize("row", UNREADABLE_ROWS, ids=range(len(UNREADABLE_ROWS)))
def test_unreadable_row_ends_no_entry_and_none_that_starts_beside_it(row: str) -> None:
    """Guards against one row that ends every entry, and again at each start."""

    async def scenario(world: DirectWorld) -> None:
        world.store.put("servers", "odd", row.encode())
        await anyio.sleep(2)
        world.add_worker("late", DIARY)
        world.add_entry("entry-2")
        await anyio.sleep(3)
        for entry in world.entries.values():
            assert "odd" not in entry.registry.states
            assert "late" in entry.registry.states
        replies = [
            await world.call(entry, path)
            for entry in world.entries
            for path in ("/list/1", "/book/1")
        ]
        assert [reply.status for reply in replies] == [200] * 4
        world.register_worker("late", DIARY, state="draining")
        await anyio.sleep(2)
        assert world.entries["entry-2"].registry.states["late"].target.leaving

    run_in_direct_world(scenario)


@pytest.mark.parametrize("row", UNREADABLE_ROWS, ids=range(len(UNREADABLE_ROWS)))
def test_unreadable_row_ends_no_agent_and_none_that_starts_beside_it(row: str) -> None:
    """Guards against one row that ends every agent that looks for engines."""

    async def scenario(world: GroupWorld) -> None:
        world.store.put("servers", "odd", row.encode())
        world.store.put("instances", "odd", row.encode())
        await anyio.sleep(2)
        world.kill_agent(0)
        world.start_agent(0)
        await anyio.sleep(2)
        for agent in world.agents.values():
            address = agent.settings.listen
            assert agent.peers.engine_of_agent(address) is not None

    run_in_group_world(scenario)


@pytest.mark.parametrize(
    "row", UNREADABLE_INSTANCES, ids=range(len(UNREADABLE_INSTANCES))
)
def test_unreadable_instance_ends_no_entry_and_none_that_starts_beside_it(
    row: str,
) -> None:
    """Guards against calls to an address that is none, which end the calling task."""

    async def scenario(world: DirectWorld) -> None:
        world.store.put("instances", "odd", row.encode())
        await anyio.sleep(2)
        world.add_entry("entry-2")
        await anyio.sleep(3)
        for name, entry in world.entries.items():
            assert set(entry.directory.all()) == {"entry-1", "entry-2"}
            assert (await world.call(name, "/list/1")).status == 200

    run_in_direct_world(scenario)


def test_instance_is_listed_under_its_own_name_only() -> None:
    """Guards against a row of another writer that stands for one of our processes."""
    own = Instance("entry-1", "palermo", "10.1.0.1:9", InstanceRole.ENTRY)
    raw = msgspec.json.encode(own).decode()
    feed = Feed("instances")
    feed.items = {"entry-1": raw, "odd": raw}
    feed.number = 1
    assert Directory(feed).all() == {"entry-1": own}


@pytest.mark.parametrize(
    "name", ["", " t", "t\n", "t\r\nx: y", "t\x00", "\u65e5\u672c"]
)
def test_row_under_a_name_that_no_request_can_carry_is_rejected(name: str) -> None:
    """Guards against requests that cannot be sent with the name of their target."""
    with pytest.raises(DecodeError):
        ADAPTER.decode_target(name, json.dumps(VALID_ROW))


@pytest.mark.parametrize(
    "change",
    [
        {"routes": f'[{{"note":{DEEP}}}]'},
        {"services": DEEP},
        {"version": "9" * 5000},
        {"limits": '{"maxBodyBytes":' + "9" * 400 + "}"},
    ],
)
def test_unreadable_config_leaves_the_known_one_in_force(
    change: dict[str, str],
) -> None:
    """Guards against a config that ends every entry, and again at each start."""

    async def scenario(world: DirectWorld) -> None:
        fields = {name: json.dumps(value) for name, value in build_config().items()}
        fields |= {"version": "9", **change}
        raw = ",".join(f'"{name}":{value}' for name, value in fields.items())
        world.store.put("op", "config", f"{{{raw}}}".encode())
        await anyio.sleep(2)
        world.add_entry("entry-2")
        await anyio.sleep(3)
        assert (await world.call("entry-1", "/list/1")).status == 200
        assert (await world.call("entry-2", "/list/1")).status == 503
        world.store.put("op", "config", build_config(10))
        await anyio.sleep(2)
        assert (await world.call("entry-2", "/list/1")).status == 200

    run_in_direct_world(scenario)


@pytest.mark.parametrize("raw", ["", "{", "[]", '{"name": 1}', "\ufffd", "null"])
def test_invalid_row_among_our_instances_is_ignored(raw: str) -> None:
    own = Instance("entry-1", "palermo", "10.1.0.1:9", InstanceRole.ENTRY)
    feed = Feed("instances")
    feed.items = {"entry-1": msgspec.json.encode(own).decode(), "odd": raw}
    feed.number = 1
    assert Directory(feed).all() == {"entry-1": own}


@pytest.mark.parametrize(
    "change",
    [{"address": "nowhere"}, {"address": "a:b"}, {"slots": "six"}, {"slots": -1}, {}],
)
def test_valid_row_is_used_among_invalid_ones(change: dict[str, Any]) -> None:
    """Hundreds of odd rows do not affect callers, and one that is corrected is used."""

    async def scenario(world: DirectWorld) -> None:
        row = {**VALID_ROW, "address": "10.9.9.9:80", **change}
        for number in range(200):
            world.store.put("servers", f"odd-{number}", row if change else ["odd"])
        await anyio.sleep(2)
        statuses = {(await world.call("entry-1", "/list/1")).status for _ in range(20)}
        assert statuses == {200}
        worker = world.add_worker("odd-7", DIARY)
        await anyio.sleep(2)
        async with anyio.create_task_group() as callers:
            for _ in range(30):
                callers.start_soon(world.call, "entry-1", "/list/1")
        assert worker.runs

    run_in_direct_world(scenario, diaries=1)
