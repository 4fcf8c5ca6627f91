"""The rows of the operator and the workers are decoded into briarthread's types."""

import json

import pytest
from direct_builders import build_config

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.call_kind import CallKind
from briarthread_platform.adapter import ADAPTER


def decode_config_with(**changes: object):  # noqa: ANN201
    return ADAPTER.decode_routes({"config": json.dumps(build_config(7, **changes))})


def test_config_becomes_a_route_map_in_seconds() -> None:
    route_map = decode_config_with()
    route = route_map.match("salon.example", "/chat/anything")
    assert route_map.version == 7
    assert (route.kind, route.timeout, route.gap_slo) == (CallKind.STREAM, 4.0, 0.12)
    assert route.retryable
    assert route_map.services["model"].engine.steps_per_pass == 5
    assert route_map.accounts["key-2"].name == "salon"
    assert route_map.limits.idle_timeout == 15.0


def test_longest_prefix_of_the_host_is_matched() -> None:
    rows = build_config()["routes"]
    longer = {**rows[1], "name": "longer", "pathPrefix": "/book/late/"}
    route_map = decode_config_with(routes=[*rows, longer])
    assert route_map.match("salon.example", "/book/late/1").name == "longer"
    assert route_map.match("salon.example", "/book/1").name == "r/book/"
    assert route_map.match("other.example", "/book/1") is None


def test_stream_that_may_not_be_resumed_is_not_retryable() -> None:
    row = {**build_config()["routes"][0], "resumable": False}
    assert (
        not decode_config_with(routes=[row]).match("salon.example", "/chat/").retryable
    )


def test_config_without_tenants_needs_no_key() -> None:
    config = build_config()
    del config["tenants"]
    route_map = ADAPTER.decode_routes({"config": json.dumps(config)})
    assert not route_map.needs_key


def test_priorities_of_a_service_are_those_of_the_routes_to_it() -> None:
    rows = build_config()["routes"]
    split = [
        {"service": "model", "weight": 9.0},
        {"service": "diary", "weight": 1.0},
    ]
    urgent = {**rows[0], "name": "urgent", "pathPrefix": "/now/", "priority": 0}
    routes = [*rows, {**urgent, "split": split, "service": ""}]
    services = decode_config_with(routes=routes).services
    assert services["model"].priorities == services["diary"].priorities == (0, 1)
    assert services["model"].has_priorities
    assert not decode_config_with().services["model"].has_priorities


def test_cold_start_of_a_service_is_decoded_and_absent_by_default() -> None:
    row = {"name": "model", "coldStartS": 3.0, "coldPerS": 17.0}
    service = decode_config_with(services=[row]).services["model"]
    assert (service.cold_seconds, service.cold_rate) == (3.0, 17.0)
    assert decode_config_with().services["model"].cold_rate == 0.0


def test_evacuated_data_centres_are_read_beside_the_config() -> None:
    items = {"config": "{", "evacuate/palermo": "{}", "evacuate/catania": ""}
    assert ADAPTER.decode_evacuated(items) == {"palermo", "catania"}
    assert ADAPTER.decode_evacuated({"config": "{}"}) == frozenset()


def test_missing_config_is_not_an_error() -> None:
    assert ADAPTER.decode_routes({}) is None


@pytest.mark.parametrize("raw", ["", "[]", '{"version":1}', "not json"])
def test_malformed_config_raises_decode_error(raw: str) -> None:
    with pytest.raises(DecodeError, match="config"):
        ADAPTER.decode_routes({"config": raw})


@pytest.mark.parametrize(("state", "leaving"), [("ready", False), ("draining", True)])
def test_worker_row_is_decoded_into_a_target(state: str, leaving: bool) -> None:
    row = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "palermo",
        "slots": 6,
        "state": state,
        "coldLeftMs": 1500,
        "seq": 4,
    }
    target = ADAPTER.decode_target("i-1", json.dumps(row))
    assert (target.name, target.leaving, target.warmup_seconds) == ("i-1", leaving, 1.5)


@pytest.mark.parametrize("born", ["1", 1.5, True, [], {}])
def test_worker_row_whose_start_is_no_whole_number_is_rejected(born: object) -> None:
    row = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "palermo",
        "slots": 6,
        "state": "ready",
        "born": 1764756000123,
    }
    target = ADAPTER.decode_target("i-1", json.dumps(row))
    assert target.started_ms == 1764756000123
    with pytest.raises(DecodeError, match="i-1"):
        ADAPTER.decode_target("i-1", json.dumps({**row, "born": born}))


def test_malformed_worker_row_raises_an_error_with_its_name() -> None:
    with pytest.raises(DecodeError, match="i-1"):
        ADAPTER.decode_target("i-1", '{"service":"s"}')
