"""A status that promises that a request did not run is passed on only if that is so."""

import pytest
from direct_builders import (
    DIARY,
    MODEL,
    build_config,
    build_route_row,
    run_in_direct_world,
)

from briarthread_common.core.outcome import NOT_RUN_STATUSES
from briarthread_standins.direct_worker import WorkerFault
from briarthread_standins.direct_world import DirectResponse, DirectWorld

STREAM = "/once/"
ROUTES = [
    build_route_row("/book/", DIARY, "unsafe", maxAttempts=3),
    build_route_row(STREAM, MODEL, "stream", maxAttempts=3),
]
BELIEVED_STATUSES = sorted(NOT_RUN_STATUSES - {421})
"""A 421 is itself the word of a target that the request was meant for another one."""
SIZE = {"x-token-count": "100,30"}


def set_run_statuses(world: DirectWorld, *statuses: int, **fields: str) -> None:
    for worker in world.workers.values():
        worker.run_statuses = list(statuses)
        worker.run_fields = [(name.replace("_", "-"), v) for name, v in fields.items()]


def count_runs(world: DirectWorld) -> int:
    return sum(worker.runs.total() for worker in world.workers.values())


async def call(world: DirectWorld, path: str) -> DirectResponse:
    headers = {} if path.startswith(("/book/", "/list/")) else SIZE
    return await world.call("entry-1", path, headers)


@pytest.mark.parametrize("status", BELIEVED_STATUSES)
@pytest.mark.parametrize("path", ["/book/1", f"{STREAM}1"])
@pytest.mark.parametrize(
    "fields", [{}, {"retry_after": "1"}, {"at_server": "10.9.9.9:1"}]
)
def test_run_answered_like_a_refusal_is_not_called_not_run(
    status: int, path: str, fields: dict[str, str]
) -> None:
    """Guards against callers who book once more since a target failed after its run."""

    async def scenario(world: DirectWorld) -> None:
        set_run_statuses(world, status, status, status, **fields)
        reply = await call(world, path)
        assert reply.status == 502
        assert reply.headers["briarthread-outcome"] == "unknown"
        assert "x-server-stamp" not in reply.headers
        assert count_runs(world) == 1

    run_in_direct_world(scenario, config=build_config(routes=ROUTES))


@pytest.mark.parametrize("status", BELIEVED_STATUSES)
@pytest.mark.parametrize("path", ["/book/1", f"{STREAM}1"])
def test_refusal_is_retried_and_what_follows_decides(status: int, path: str) -> None:
    """Guards against a first refusal that covers a later run."""

    async def scenario(world: DirectWorld) -> None:
        first_refused = [WorkerFault.REFUSE]
        for worker in world.workers.values():
            worker.faults = first_refused
        set_run_statuses(world, status, status)
        reply = await call(world, path)
        assert (reply.status, count_runs(world)) == (502, 1)
        assert not first_refused

    run_in_direct_world(scenario, config=build_config(routes=ROUTES))


@pytest.mark.parametrize("status", BELIEVED_STATUSES)
def test_refusal_by_a_targets_own_word_stays_one(status: int) -> None:
    """Guards against refusals that are no longer told from failures."""

    async def scenario(world: DirectWorld) -> None:
        set_run_statuses(world, status, status, x_not_executed="1")
        for path in ("/book/1", f"{STREAM}1"):
            reply = await call(world, path)
            assert (reply.status, reply.headers["briarthread-outcome"]) == (
                503,
                "not-run",
            )
            assert float(reply.headers["retry-after"]) > 0

    run_in_direct_world(scenario, config=build_config(routes=ROUTES))


@pytest.mark.parametrize("status", BELIEVED_STATUSES)
@pytest.mark.parametrize("path", ["/list/1", "/chat/1"])
def test_request_that_may_run_again_gets_the_targets_answer(
    status: int, path: str
) -> None:
    """Guards against answers that are withheld without a need."""

    async def scenario(world: DirectWorld) -> None:
        set_run_statuses(world, *[status] * 9)
        reply = await call(world, path)
        assert (reply.status, reply.body) == (status, b"failed")
        assert reply.headers["x-server-stamp"] == "stamp"

    run_in_direct_world(scenario)


@pytest.mark.parametrize("path", ["/book/1", f"{STREAM}1"])
@pytest.mark.parametrize("status", [400, 404, 409, 500, 502, 504])
def test_other_failures_of_a_target_are_passed_on_unchanged(
    status: int, path: str
) -> None:
    async def scenario(world: DirectWorld) -> None:
        set_run_statuses(world, *[status] * 3)
        reply = await call(world, path)
        assert (reply.status, reply.body) == (status, b"failed")
        assert reply.headers["x-server-stamp"] == "stamp"

    run_in_direct_world(scenario, config=build_config(routes=ROUTES))


def test_rest_of_a_target_is_learned_from_an_answer_that_is_withheld() -> None:
    """Guards against requests to a target that asked for a pause after a run."""

    async def scenario(world: DirectWorld) -> None:
        set_run_statuses(world, 503, retry_after="5")
        assert (await call(world, "/book/1")).status == 502
        entry = world.entries["entry-1"]
        assert list(entry.backoffs.seconds_left(0.0)) == ["diary-0"]

    run_in_direct_world(scenario, diaries=1)


@pytest.mark.parametrize("path", ["/book/1", "/list/1"])
def test_misdirected_request_is_called_not_run(path: str) -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.version = "2"
        headers = {"x-expect-version": "1"}
        reply = await world.call("entry-1", path, headers)
        assert (reply.status, count_runs(world)) == (503, 0)
        assert reply.headers["briarthread-outcome"] == "not-run"

    run_in_direct_world(scenario)
