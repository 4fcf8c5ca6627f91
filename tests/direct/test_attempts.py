"""Responses to callers and numbers of runs for each behaviour of a target."""

import anyio
import pytest
from direct_builders import DIARY, build_config, build_route_row, run_in_direct_world

from briarthread_standins.direct_worker import WorkerFault
from briarthread_standins.direct_world import DirectWorld

INVALID_RESPONSES = [
    WorkerFault.LOSE_RESPONSE,
    WorkerFault.WRONG_REQUEST_ID,
    WorkerFault.NO_REQUEST_ID,
    WorkerFault.NO_STAMP,
    WorkerFault.ENCODED,
]


def set_faults(world: DirectWorld, fault: WorkerFault, times: int = 1) -> None:
    for worker in world.workers.values():
        worker.faults = [fault] * times


def count_runs(world: DirectWorld) -> int:
    return sum(sum(worker.runs.values()) for worker in world.workers.values())


def test_response_of_the_target_is_forwarded_unchanged() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.call("entry-1", "/book/1?day=2")
        assert (reply.status, reply.headers["x-server-stamp"]) == (200, "stamp")
        assert reply.body.decode() in world.workers
        assert count_runs(world) == 1

    run_in_direct_world(scenario)


def test_target_receives_account_and_time_left_but_not_the_key() -> None:
    async def scenario(world: DirectWorld) -> None:
        await world.call("entry-1", "/book/1", {"x-tenant": "forged", "te": "trailers"})
        headers = next(
            worker.received_headers[0]
            for worker in world.workers.values()
            if worker.received_headers
        )
        assert headers["x-tenant"] == "salon"
        assert "x-credential" not in headers
        assert "te" not in headers
        assert 3900 < int(headers["x-deadline-ms"]) <= 4000
        assert headers["host"] == "salon.example"

    run_in_direct_world(scenario)


@pytest.mark.parametrize("fault", INVALID_RESPONSES)
def test_unsafe_request_with_an_invalid_response_is_unknown_and_ran_once(
    fault: WorkerFault,
) -> None:
    async def scenario(world: DirectWorld) -> None:
        set_faults(world, fault)
        reply = await world.call("entry-1", "/book/1")
        assert reply.status == 502
        assert reply.headers["briarthread-outcome"] == "unknown"
        assert count_runs(world) == 1

    run_in_direct_world(scenario)


@pytest.mark.parametrize("fault", [*INVALID_RESPONSES, WorkerFault.SERVER_ERROR])
def test_safe_request_is_served_by_the_second_target(
    fault: WorkerFault,
) -> None:
    async def scenario(world: DirectWorld) -> None:
        statuses = []
        for _ in range(6):
            for worker in world.workers.values():
                worker.faults = []
            world.workers["diary-0"].faults = [fault]
            statuses.append((await world.call("entry-1", "/list/1")).status)
        assert statuses == [200] * 6

    run_in_direct_world(scenario)


@pytest.mark.parametrize("fault", INVALID_RESPONSES)
def test_unsafe_request_that_may_have_run_is_not_retried(
    fault: WorkerFault,
) -> None:
    async def scenario(world: DirectWorld) -> None:
        set_faults(world, fault)
        assert (await world.call("entry-1", "/book/1")).status == 502
        assert count_runs(world) == 1

    row = build_route_row("/book/", DIARY, "unsafe", maxAttempts=3)
    run_in_direct_world(scenario, config=build_config(routes=[row]))


def test_request_refused_after_it_may_have_run_is_not_reported_as_not_run() -> None:
    async def scenario(world: DirectWorld) -> None:
        faults = [WorkerFault.LOSE_RESPONSE, WorkerFault.REFUSE, WorkerFault.REFUSE]
        for worker in world.workers.values():
            worker.faults = faults
        reply = await world.call("entry-1", "/list/1")
        assert reply.status == 502
        assert reply.headers["briarthread-outcome"] == "unknown"
        assert count_runs(world) == 1

    run_in_direct_world(scenario)


def test_unsafe_request_refused_by_its_target_is_reported_as_not_run() -> None:
    async def scenario(world: DirectWorld) -> None:
        set_faults(world, WorkerFault.REFUSE)
        reply = await world.call("entry-1", "/book/1")
        assert (reply.status, count_runs(world)) == (503, 0)
        assert reply.headers["briarthread-outcome"] == "not-run"
        assert 0 < float(reply.headers["retry-after"]) <= 8 / 3

    run_in_direct_world(scenario)


def test_error_response_of_a_target_keeps_its_stamp() -> None:
    async def scenario(world: DirectWorld) -> None:
        set_faults(world, WorkerFault.SERVER_ERROR)
        reply = await world.call("entry-1", "/book/1")
        assert (reply.status, reply.body) == (500, b"broken")
        assert reply.headers["x-server-stamp"] == "stamp"

    run_in_direct_world(scenario)


def test_request_to_an_unresponsive_target_fails_at_the_routes_timeout() -> None:
    async def scenario(world: DirectWorld) -> None:
        set_faults(world, WorkerFault.NO_RESPONSE, times=2)
        started = anyio.current_time()
        reply = await world.call("entry-1", "/book/1")
        elapsed = anyio.current_time() - started
        assert reply.status == 504
        assert reply.headers["briarthread-outcome"] == "unknown"
        assert 3.9 < elapsed < 4.25

    run_in_direct_world(scenario)


def test_request_is_not_run_by_another_target_at_the_same_address() -> None:
    async def scenario(world: DirectWorld) -> None:
        for name in ("diary-0", "diary-1", "diary-2"):
            world.workers[name].name = f"other-{name}"
        statuses = [(await world.call("entry-1", "/book/1")).status for _ in range(3)]
        assert statuses == [503] * 3
        assert count_runs(world) == 0

    run_in_direct_world(scenario)


def test_target_is_not_tried_again_at_a_replaced_address() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.workers["diary-0"].name = "other"
        replies = [await world.call("entry-1", "/list/1") for _ in range(12)]
        assert len(world.workers["diary-0"].received_headers) == 1
        assert {reply.status for reply in replies} == {503}

    run_in_direct_world(scenario, diaries=1)


def test_disconnect_of_the_caller_cancels_the_run_at_the_target() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.delay = 3.0
        await world.call("entry-1", "/list/1", client_timeout=0.3)
        await anyio.sleep(0.4)
        assert sum(worker.cancelled_requests for worker in world.workers.values()) == 1
        assert all(worker.in_progress == 0 for worker in world.workers.values())

    run_in_direct_world(scenario)


def test_caller_that_leaves_is_recorded_with_its_attempt_under_way() -> None:
    async def scenario(world: DirectWorld) -> None:
        set_faults(world, WorkerFault.NO_RESPONSE)
        await world.call("entry-1", "/list/1", client_timeout=0.3)
        await anyio.sleep(0.1)
        events = world.entries["entry-1"].events.events_for("request-1")
        decisions = [event.decision for event in events]
        assert decisions == ["attempt-abandoned", "caller-left"]
        assert events[0].subject in world.workers
        assert events[0].reason.startswith("unanswered after 0.29")

    run_in_direct_world(scenario)


def test_attempt_under_way_at_the_deadline_is_recorded_before_the_error() -> None:
    async def scenario(world: DirectWorld) -> None:
        set_faults(world, WorkerFault.NO_RESPONSE)
        assert (await world.call("entry-1", "/book/1")).status == 504
        events = world.entries["entry-1"].events.events_for("request-1")
        decisions = [event.decision for event in events]
        assert decisions == ["attempt-abandoned", "request-failed"]

    run_in_direct_world(scenario)


def test_attempts_are_limited_by_the_route() -> None:
    async def scenario(world: DirectWorld) -> None:
        set_faults(world, WorkerFault.SERVER_ERROR, times=9)
        await world.call("entry-1", "/list/1")
        assert count_runs(world) == 2

    run_in_direct_world(scenario)


def test_refused_connection_does_not_count_as_an_attempt() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.network.close(world.addresses["diary-0"])
        world.network.close(world.addresses["diary-1"])
        statuses = [(await world.call("entry-1", "/book/1")).status for _ in range(4)]
        assert statuses == [200] * 4

    run_in_direct_world(scenario)


def test_request_for_a_service_without_targets_is_refused() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.call("entry-1", "/book/1")
        assert reply.status == 503
        assert reply.headers["briarthread-outcome"] == "not-run"

    run_in_direct_world(scenario, diaries=0)


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/book/1", {"host": "other.example"}, 404),
        ("/book/1", {"x-credential": "unknown"}, 401),
        ("/book/1", {"x-deadline-ms": "soon"}, 400),
        ("/book/1", {"x-deadline-ms": "nan"}, 400),
        ("/book/1", {"x-deadline-ms": "inf"}, 400),
        ("/book/1", {"x-deadline-ms": "-5"}, 400),
    ],
)
def test_invalid_request_is_refused_and_not_run(
    path: str, headers: dict[str, str], status: int
) -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.call("entry-1", path, headers)
        assert (reply.status, count_runs(world)) == (status, 0)

    run_in_direct_world(scenario)


@pytest.mark.parametrize("header", ["x-token-count", "last-event-id"])
@pytest.mark.parametrize("value", ["9" * 5000, "-1", "1.5", "x", "\xb2", ""])
def test_number_that_cannot_be_read_is_taken_for_none(header: str, value: str) -> None:
    """Guards against a header whose digits the interpreter refuses to convert."""

    async def scenario(world: DirectWorld) -> None:
        for path in ("/book/1", "/chat/1"):
            headers = {"x-token-count": "100,30", header: value}
            reply = await world.call("entry-1", path, headers)
            assert (reply.status, reply.complete) == (200, True)

    run_in_direct_world(scenario)


def test_route_to_a_service_that_is_not_configured_is_refused() -> None:
    """Guards against an internal error at each of its requests."""

    async def scenario(world: DirectWorld) -> None:
        reply = await world.call("entry-1", "/odd/1")
        assert reply.status == 503
        assert reply.headers["briarthread-outcome"] == "not-run"
        assert (await world.call("entry-1", "/book/1")).status == 200

    rows = [*build_config()["routes"], build_route_row("/odd/", "unnamed", "safe")]
    run_in_direct_world(scenario, config=build_config(routes=rows))


def test_split_route_without_weights_is_served() -> None:
    """Guards against a choice by weights that are all zero."""

    async def scenario(world: DirectWorld) -> None:
        assert (await world.call("entry-1", "/mix/1")).status == 200

    row = build_route_row("/mix/", DIARY, "safe")
    row["split"] = [{"service": DIARY, "weight": 0}, {"service": "cards", "weight": 0}]
    run_in_direct_world(scenario, config=build_config(routes=[row]))


def test_account_name_reaches_the_target_in_any_script() -> None:
    """Guards against a name that no header can carry as it is."""

    async def scenario(world: DirectWorld) -> None:
        reply = await world.call("entry-1", "/book/1", {"x-credential": "key-9"})
        assert reply.status == 200
        names = [
            headers["x-tenant"].encode("latin-1").decode()
            for worker in world.workers.values()
            for headers in worker.received_headers
        ]
        assert names == ["\u82b1\u5712"]

    tenants = [{"name": "\u82b1\u5712", "apiKeys": ["key-9"]}]
    run_in_direct_world(scenario, config=build_config(tenants=tenants))


def test_oversized_body_is_refused() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.call("entry-1", "/book/1", body=b"x" * 1001)
        assert (reply.status, count_runs(world)) == (413, 0)

    run_in_direct_world(scenario)


def test_public_route_needs_no_key() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.call("entry-1", "/open/1", {"x-credential": ""})
        assert reply.status == 200

    rows = [*build_config()["routes"], build_route_row("/open/", DIARY, "safe")]
    rows[-1]["public"] = True
    run_in_direct_world(scenario, config=build_config(routes=rows))


def test_split_route_distributes_requests_by_weight() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.add_worker("cards-0", "cards")
        await anyio.sleep(1)
        for _ in range(40):
            assert (await world.call("entry-1", "/mix/1")).status == 200
        served = world.workers["cards-0"].runs.total()
        assert 3 <= served <= 20

    row = build_route_row("/mix/", DIARY, "safe")
    row["split"] = [
        {"service": DIARY, "weight": 75},
        {"service": "cards", "weight": 25},
    ]
    services = [*build_config()["services"], {"name": "cards"}]
    run_in_direct_world(scenario, config=build_config(routes=[row], services=services))
