"""What the operator and the workers write becomes the product's own types."""

import json

import pytest
from direct_builders import build_config

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.call_kind import CallKind
from briarthread_platform.adapter import ADAPTER


def routes(**changes: object):  # noqa: ANN201
    return ADAPTER.decode_routes({"config": json.dumps(build_config(7, **changes))})


def test_config_becomes_a_route_map_in_seconds() -> None:
    found = routes()
    route = found.match("salon.example", "/chat/anything")
    assert found.version == 7
    assert (route.kind, route.timeout, route.gap_slo) == (CallKind.STREAM, 4.0, 0.12)
    assert route.repeatable
    assert found.services["model"].engine.steps_per_pass == 5
    assert found.accounts["key-2"].name == "salon"
    assert found.limits.idle_timeout == 15.0


def test_longest_prefix_of_the_host_decides() -> None:
    rows = build_config()["routes"]
    longer = {**rows[1], "name": "longer", "pathPrefix": "/book/late/"}
    found = routes(routes=[*rows, longer])
    assert found.match("salon.example", "/book/late/1").name == "longer"
    assert found.match("salon.example", "/book/1").name == "r/book/"
    assert found.match("other.example", "/book/1") is None


def test_stream_that_may_not_be_resumed_may_not_be_repeated() -> None:
    row = {**build_config()["routes"][0], "resumable": False}
    assert not routes(routes=[row]).match("salon.example", "/chat/").repeatable


def test_config_without_tenants_needs_no_key() -> None:
    config = build_config()
    del config["tenants"]
    found = ADAPTER.decode_routes({"config": json.dumps(config)})
    assert not found.needs_key


def test_no_config_yet_is_no_fault() -> None:
    assert ADAPTER.decode_routes({}) is None


@pytest.mark.parametrize("raw", ["", "[]", '{"version":1}', "not json"])
def test_malformed_config_is_told_as_such(raw: str) -> None:
    with pytest.raises(DecodeError, match="config"):
        ADAPTER.decode_routes({"config": raw})


@pytest.mark.parametrize(("state", "leaving"), [("ready", False), ("draining", True)])
def test_worker_row_becomes_a_target(state: str, leaving: bool) -> None:
    row = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "palermo",
        "slots": 6,
        "state": state,
        "coldLeftMs": 1500,
        "seq": 4,
    }
    found = ADAPTER.decode_target("i-1", json.dumps(row))
    assert (found.name, found.leaving, found.warmup_seconds) == ("i-1", leaving, 1.5)


def test_malformed_worker_row_names_the_worker() -> None:
    with pytest.raises(DecodeError, match="i-1"):
        ADAPTER.decode_target("i-1", '{"service":"s"}')
