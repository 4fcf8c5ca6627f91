"""Agents and entries honour the Retry-After of a 503 from a target behind an agent."""

import anyio
import pytest
from builders import run_in_world

from briarthread_standins.world import CallerResponse, World

ENTRIES = tuple(f"entry-{name}-0" for name in ("palermo", "catania", "messina"))
MAX_EARLY_REQUESTS = 2
"""Requests that a target may get from its agent during a backoff."""
RETRY_AFTER_SECONDS = 3.0
MAX_REFUSED = 5
"""Callers that get the target's own 503: one for each backoff that it requests."""
REQUESTS = 400


async def send_requests(world: World, service: str) -> list[CallerResponse]:
    """Return the answers to requests sent through all entries in turn."""
    answers: list[CallerResponse] = []

    async def send(number: int) -> None:
        entry = ENTRIES[number % len(ENTRIES)]
        body = f"{service}-{number}".encode()
        answers.append(await world.call(entry, f"{service}/x", "salon-0", None, body))

    async with anyio.create_task_group() as tasks:
        for number in range(REQUESTS):
            tasks.start_soon(send, number)
            await anyio.sleep(0.03)
    return answers


def request_backoff(world: World, *names: str, seconds: float = 8.0) -> None:
    now = anyio.current_time()
    for name in names:
        world.services[name].refusals.refuse(now, now + seconds, RETRY_AFTER_SECONDS)


@pytest.mark.parametrize("service", ["cards", "diary"])
def test_target_gets_no_requests_during_the_backoff_that_it_requested(
    service: str,
) -> None:
    async def scenario(world: World) -> None:
        request_backoff(world, f"{service}-palermo-0")
        await send_requests(world, service)
        refusals = world.services[f"{service}-palermo-0"].refusals
        assert refusals.refused
        assert refusals.max_early_requests() <= MAX_EARLY_REQUESTS

    run_in_world(scenario)


def test_other_targets_serve_callers_during_a_backoff() -> None:
    async def scenario(world: World) -> None:
        request_backoff(world, "cards-palermo-0")
        answers = await send_requests(world, "cards")
        refused = [answer for answer in answers if answer.status != 200]
        assert len(refused) <= MAX_REFUSED

    run_in_world(scenario)


def test_target_gets_its_portion_again_after_the_backoff() -> None:
    async def scenario(world: World) -> None:
        request_backoff(world, "cards-palermo-0", seconds=0.5)
        await send_requests(world, "cards")
        assert world.services["cards-palermo-0"].runs.total() >= 0.1 * REQUESTS

    run_in_world(scenario)


def test_retry_after_is_the_end_of_the_first_backoff_if_all_targets_back_off() -> None:
    async def scenario(world: World) -> None:
        request_backoff(
            world, *(name for name in world.services if name.startswith("cards"))
        )
        answers = await send_requests(world, "cards")
        refused = [a for a in answers if "backing-off" in a.body.decode()]
        assert refused
        waits = [float(answer.headers["retry-after"]) for answer in refused]
        assert min(waits) > 0
        assert max(waits) <= RETRY_AFTER_SECONDS
        assert {answer.outcome for answer in refused} == {"not-run"}
        for name, service in world.services.items():
            assert service.refusals.max_early_requests() <= MAX_EARLY_REQUESTS, name

    run_in_world(scenario)


@pytest.mark.parametrize(("service", "status"), [("diary", 502), ("cards", 503)])
def test_targets_own_503_is_passed_on_only_if_the_request_may_run_again(
    service: str, status: int
) -> None:
    """Guards against callers who take a target's failure for a promise not to run."""

    async def scenario(world: World) -> None:
        request_backoff(
            world, *(name for name in world.services if name.startswith(service))
        )
        answer = await world.call(ENTRIES[0], f"{service}/x", "salon-0", None, b"x")
        assert answer.status == status
        if service == "diary":
            assert answer.headers["briarthread-outcome"] == "unknown"

    run_in_world(scenario)
