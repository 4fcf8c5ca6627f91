"""Answers that a target sends a second time, from real sockets to a real entry."""

from pathlib import Path

import pytest

from processes.one_target import Caller, Reply, run_before_target
from processes.stuttering_target import Answer, build_answer, fill_reads

REQUEST_ID = "0" * 16
WHOLE_BYTES = len(build_answer(Answer(), REQUEST_ID)[0])
HEAD_READ_BYTES = 4096
"""Bytes of a head that an entry reads at a time."""
CALLS = 100
MAX_EXTRA_CONNECTIONS = CALLS // 10
"""Connections that sound answers may take; each call would be a handshake a request."""


def describe(reply: Reply) -> str:
    answered = [(a.status, a.connection) for a in reply.arrivals]
    return f"{reply.status} {reply.body!r}, the target answered {answered}"


async def find_mixed(caller: Caller, first: Answer, second: Answer) -> str:
    """Return what is wrong with two replies, the second after a failure; else none."""
    for reply in (await caller.call(first), await caller.call(second)):
        if reply.status < 500 and not reply.is_answered_by_target():
            return f"{first}, {second}: {describe(reply)}"
    return ""


@pytest.mark.parametrize("status", [404, 500])
def test_no_caller_gets_the_status_in_a_part_of_an_answer_before_its_own(
    tmp_path: Path, status: int
) -> None:
    """Guards against two heads that run together."""

    async def scenario(caller: Caller) -> None:
        parts = range(0, WHOLE_BYTES + 1)
        found = [
            await find_mixed(caller, Answer(), Answer(status, late=part))
            for part in parts
        ]
        assert not list(filter(None, found))

    run_before_target(tmp_path, scenario)


def test_no_caller_gets_the_status_of_what_came_with_an_answer_in_chunks(
    tmp_path: Path,
) -> None:
    """Guards against surplus bytes that the parser keeps for the next answer."""

    async def scenario(caller: Caller) -> None:
        parts = range(0, WHOLE_BYTES + 1)
        found = [
            await find_mixed(caller, Answer(chunked=True, surplus=part), Answer(404))
            for part in parts
        ]
        assert not list(filter(None, found))

    run_before_target(tmp_path, scenario)


@pytest.mark.parametrize("size", [HEAD_READ_BYTES, HEAD_READ_BYTES + 65536])
def test_no_caller_gets_the_status_of_what_came_behind_the_bytes_of_a_read(
    tmp_path: Path, size: int
) -> None:
    """Guards against surplus bytes that wait where nobody looks for them."""

    async def scenario(caller: Caller) -> None:
        parts = range(10, 100, 5)
        found = [
            await find_mixed(
                caller, fill_reads(size, REQUEST_ID, part, False), Answer(404)
            )
            for part in parts
        ]
        assert not list(filter(None, found))

    run_before_target(tmp_path, scenario)


def test_second_answers_cost_no_caller_the_answer(tmp_path: Path) -> None:
    """Guards against an answer that is lost with the connection of another."""

    async def scenario(caller: Caller) -> None:
        replies = [
            await caller.call(Answer(late=WHOLE_BYTES if number % 2 else 0))
            for number in range(CALLS)
        ]
        lost = [describe(r) for r in replies if not r.is_answered_by_target()]
        assert not lost

    run_before_target(tmp_path, scenario)


def test_sound_answers_come_over_connections_that_are_kept(tmp_path: Path) -> None:
    async def scenario(caller: Caller) -> None:
        replies = [await caller.call(Answer()) for _ in range(CALLS)]
        assert all(reply.is_answered_by_target() for reply in replies)
        assert caller.target.connections <= 1 + MAX_EXTRA_CONNECTIONS

    run_before_target(tmp_path, scenario)


@pytest.mark.parametrize("field", ["X-Request-Id", "X-Server-Stamp"])
def test_answer_with_two_values_of_what_proves_it_is_not_passed_on(
    tmp_path: Path, field: str
) -> None:
    """Guards against a head of which only the last value is looked at."""

    async def scenario(caller: Caller) -> None:
        reply = await caller.call(Answer(fields=f"{field}: another\r\n"))
        assert reply.status == 502
        assert len(reply.arrivals) == 1

    run_before_target(tmp_path, scenario)
