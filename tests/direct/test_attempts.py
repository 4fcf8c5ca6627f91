"""What a caller gets for what a target does, and how often a request runs."""

import anyio
import pytest
from direct_builders import DIARY, build_config, build_route_row, in_direct_world

from briarthread_standins.direct_worker import WorkerFault
from briarthread_standins.direct_world import DirectWorld

SPOILT = [
    WorkerFault.LOSE_ANSWER,
    WorkerFault.OTHER_ID,
    WorkerFault.NO_ID,
    WorkerFault.NO_STAMP,
    WorkerFault.ENCODED,
]


def all_faulty(world: DirectWorld, fault: WorkerFault, times: int = 1) -> None:
    for worker in world.workers.values():
        worker.faults = [fault] * times


def runs(world: DirectWorld) -> int:
    return sum(sum(worker.runs.values()) for worker in world.workers.values())


def test_answer_of_the_target_comes_back_unchanged() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.ask("entry-1", "/book/1?day=2")
        assert (reply.status, reply.headers["x-server-stamp"]) == (200, "stamp")
        assert reply.body.decode() in world.workers
        assert runs(world) == 1

    in_direct_world(scenario)


def test_target_learns_account_and_time_left_but_not_the_key() -> None:
    async def scenario(world: DirectWorld) -> None:
        await world.ask("entry-1", "/book/1", {"x-tenant": "forged", "te": "trailers"})
        seen = next(worker.seen[0] for worker in world.workers.values() if worker.seen)
        assert seen["x-tenant"] == "salon"
        assert "x-credential" not in seen
        assert "te" not in seen
        assert 3900 < int(seen["x-deadline-ms"]) <= 4000
        assert seen["host"] == "salon.example"

    in_direct_world(scenario)


@pytest.mark.parametrize("fault", SPOILT)
def test_unsafe_request_with_a_spoilt_answer_is_unknown_and_ran_once(
    fault: WorkerFault,
) -> None:
    async def scenario(world: DirectWorld) -> None:
        all_faulty(world, fault)
        reply = await world.ask("entry-1", "/book/1")
        assert reply.status == 502
        assert reply.headers["briarthread-outcome"] == "unknown"
        assert runs(world) == 1

    in_direct_world(scenario)


@pytest.mark.parametrize("fault", [*SPOILT, WorkerFault.OWN_ERROR])
def test_safe_request_is_answered_whole_by_the_second_target(
    fault: WorkerFault,
) -> None:
    async def scenario(world: DirectWorld) -> None:
        answers = []
        for _ in range(6):
            for worker in world.workers.values():
                worker.faults = []
            world.workers["diary-0"].faults = [fault]
            answers.append((await world.ask("entry-1", "/list/1")).status)
        assert answers == [200] * 6

    in_direct_world(scenario)


@pytest.mark.parametrize("fault", SPOILT)
def test_unsafe_request_that_may_have_run_goes_to_no_second_target(
    fault: WorkerFault,
) -> None:
    async def scenario(world: DirectWorld) -> None:
        all_faulty(world, fault)
        assert (await world.ask("entry-1", "/book/1")).status == 502
        assert runs(world) == 1

    row = build_route_row("/book/", DIARY, "unsafe", maxAttempts=3)
    in_direct_world(scenario, config=build_config(routes=[row]))


def test_request_refused_after_it_may_have_run_is_not_called_not_run() -> None:
    async def scenario(world: DirectWorld) -> None:
        in_turn = [WorkerFault.LOSE_ANSWER, WorkerFault.REFUSE, WorkerFault.REFUSE]
        for worker in world.workers.values():
            worker.faults = in_turn
        reply = await world.ask("entry-1", "/list/1")
        assert reply.status == 502
        assert reply.headers["briarthread-outcome"] == "unknown"
        assert runs(world) == 1

    in_direct_world(scenario)


def test_unsafe_request_refused_by_its_target_is_not_run() -> None:
    async def scenario(world: DirectWorld) -> None:
        all_faulty(world, WorkerFault.REFUSE)
        reply = await world.ask("entry-1", "/book/1")
        assert (reply.status, runs(world)) == (503, 0)
        assert reply.headers["briarthread-outcome"] == "not-run"
        assert 0 < float(reply.headers["retry-after"]) <= 8 / 3

    in_direct_world(scenario)


def test_own_error_of_a_target_keeps_its_signature() -> None:
    async def scenario(world: DirectWorld) -> None:
        all_faulty(world, WorkerFault.OWN_ERROR)
        reply = await world.ask("entry-1", "/book/1")
        assert (reply.status, reply.body) == (500, b"broken")
        assert reply.headers["x-server-stamp"] == "stamp"

    in_direct_world(scenario)


def test_silent_target_gets_a_final_answer_at_the_routes_timeout() -> None:
    async def scenario(world: DirectWorld) -> None:
        all_faulty(world, WorkerFault.MUTE, times=2)
        started = anyio.current_time()
        reply = await world.ask("entry-1", "/book/1")
        took = anyio.current_time() - started
        assert reply.status == 504
        assert reply.headers["briarthread-outcome"] == "unknown"
        assert 3.9 < took < 4.25

    in_direct_world(scenario)


def test_address_taken_over_by_another_target_gets_nothing_run() -> None:
    async def scenario(world: DirectWorld) -> None:
        for name in ("diary-0", "diary-1", "diary-2"):
            world.workers[name].name = f"other-{name}"
        statuses = [(await world.ask("entry-1", "/book/1")).status for _ in range(3)]
        assert statuses == [503] * 3
        assert runs(world) == 0

    in_direct_world(scenario)


def test_target_is_not_tried_again_at_a_replaced_address() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.workers["diary-0"].name = "other"
        replies = [await world.ask("entry-1", "/list/1") for _ in range(12)]
        assert len(world.workers["diary-0"].seen) == 1
        assert {reply.status for reply in replies} == {503}

    in_direct_world(scenario, diaries=1)


def test_caller_who_leaves_ends_the_work_at_the_target() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.delay = 3.0
        await world.ask("entry-1", "/list/1", give_up=0.3)
        await anyio.sleep(0.4)
        assert sum(worker.broken_off for worker in world.workers.values()) == 1
        assert all(worker.working == 0 for worker in world.workers.values())

    in_direct_world(scenario)


def test_attempts_stay_within_the_route() -> None:
    async def scenario(world: DirectWorld) -> None:
        all_faulty(world, WorkerFault.OWN_ERROR, times=9)
        await world.ask("entry-1", "/list/1")
        assert runs(world) == 2

    in_direct_world(scenario)


def test_refused_connection_costs_no_attempt() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.network.close(world.addresses["diary-0"])
        world.network.close(world.addresses["diary-1"])
        statuses = [(await world.ask("entry-1", "/book/1")).status for _ in range(4)]
        assert statuses == [200] * 4

    in_direct_world(scenario)


def test_unlisted_service_is_refused_at_once() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.ask("entry-1", "/book/1")
        assert reply.status == 503
        assert reply.headers["briarthread-outcome"] == "not-run"

    in_direct_world(scenario, diaries=0)


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/book/1", {"host": "other.example"}, 404),
        ("/book/1", {"x-credential": "unknown"}, 401),
        ("/book/1", {"x-deadline-ms": "soon"}, 400),
    ],
)
def test_improper_request_is_refused_and_runs_nowhere(
    path: str, headers: dict[str, str], status: int
) -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.ask("entry-1", path, headers)
        assert (reply.status, runs(world)) == (status, 0)

    in_direct_world(scenario)


def test_too_large_body_is_refused() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.ask("entry-1", "/book/1", body=b"x" * 1001)
        assert (reply.status, runs(world)) == (413, 0)

    in_direct_world(scenario)


def test_public_route_needs_no_key() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.ask("entry-1", "/open/1", {"x-credential": ""})
        assert reply.status == 200

    rows = [*build_config()["routes"], build_route_row("/open/", DIARY, "safe")]
    rows[-1]["public"] = True
    in_direct_world(scenario, config=build_config(routes=rows))


def test_split_route_goes_by_weights() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.add_worker("cards-0", "cards")
        await anyio.sleep(1)
        for _ in range(40):
            assert (await world.ask("entry-1", "/mix/1")).status == 200
        share = world.workers["cards-0"].runs.total()
        assert 3 <= share <= 20

    row = build_route_row("/mix/", DIARY, "safe")
    row["split"] = [
        {"service": DIARY, "weight": 75},
        {"service": "cards", "weight": 25},
    ]
    services = [*build_config()["services"], {"name": "cards"}]
    in_direct_world(scenario, config=build_config(routes=[row], services=services))
