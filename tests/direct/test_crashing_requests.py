"""A request that crashes each target that executes it, and concurrent requests."""

from dataclasses import replace

import anyio
import pytest
from direct_builders import run_in_direct_world

from briarthread_common.messages.crash_words import CrashWords
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.requests.request_digest import request_digest
from briarthread_standins.crash_scenario import (
    CRASH_SCENARIOS,
    PLAIN_SERVICE,
    CrashScenario,
)
from briarthread_standins.crash_simulation import simulate_crashes
from briarthread_standins.direct_world import DirectWorld

STABLE_SECONDS = 3.0
"""Time in seconds after the third crash until all entries block the request."""
MAX_LATE_ARRIVALS = 3

CENTRES = ("palermo", "catania", "messina", "siracusa", "trapani")


@pytest.mark.parametrize("name", CRASH_SCENARIOS)
def test_request_that_crashed_three_targets_is_blocked(name: str) -> None:
    """
    A caller repeats a request at any entry, and it crashes each target.

    Guards against retrying the request each time within the route's attempts and the
    retry budget, which happens if entries do not remember a request after its response
    or do not report to each other which requests ran when targets crashed.
    """
    results = simulate_crashes(CRASH_SCENARIOS[name])
    assert len(results.crashes) >= 3
    assert results.arrivals_after(3, STABLE_SECONDS) <= MAX_LATE_ARRIVALS
    assert results.blocked_requests == 1
    assert results.answers[502] >= 5


def test_concurrent_plain_requests_are_all_served() -> None:
    results = simulate_crashes(CRASH_SCENARIOS["plain, safe"])
    assert set(results.statuses) == {200}


KILLS = {
    "one a second": replace(PLAIN_SERVICE, crashes_per_second=1),
    "two a second": replace(PLAIN_SERVICE, crashes_per_second=2),
    "many, back at once": replace(
        PLAIN_SERVICE, crashes_per_second=4, down_seconds=1.0
    ),
    "unsafe": replace(PLAIN_SERVICE, kind="unsafe", crashes_per_second=2),
    "under load": replace(
        PLAIN_SERVICE, crashes_per_second=2, rate=100.0, entries=9, down_seconds=2.0
    ),
    "ranks": CrashScenario(crashes_per_second=1, rate=8.0, down_seconds=0.5),
    "silent": replace(PLAIN_SERVICE, crashes_per_second=1, silent=True),
    "silent, unsafe": replace(
        PLAIN_SERVICE, kind="unsafe", crashes_per_second=1, silent=True
    ),
    "silent, under load": replace(
        PLAIN_SERVICE, crashes_per_second=1, silent=True, rate=100.0, entries=9
    ),
}


@pytest.mark.parametrize("name", KILLS)
def test_no_request_is_blocked_while_targets_crash_for_other_reasons(name: str) -> None:
    """A third of the requests are identical, as when many callers read one list."""
    scenario = replace(
        KILLS[name], crash_interval=100.0, identical_share=0.3, seconds=20.0
    )
    results = simulate_crashes(scenario)
    assert results.statuses[200] > 0
    assert results.blocked_requests == 0


def crash_three_targets(tracker: CrashTracker, digest: str, now: float) -> None:
    """Record that a request crashed three targets in succession."""
    for number in range(3):
        at = now - 6.0 + 2.0 * number
        tracker.note_crash(digest, f"target-{number}", at, at + 0.1)


@pytest.mark.parametrize(("entries", "centres"), [(9, 3), (54, 5)])
def test_all_entries_block_the_request_within_a_second_and_a_new_entry_does_too(
    entries: int, centres: int
) -> None:
    names = tuple(f"entry-{number}" for number in range(entries))

    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(2)
        now = anyio.current_time()
        crash_three_targets(world.entries["entry-1"].crashes, "d", now)
        await anyio.sleep(1.0)
        assert all(entry.crashes.blocked for entry in world.entries.values())
        world.kill_entry("entry-1")
        world.kill_entry("entry-2")
        await anyio.sleep(1)
        restarted = world.add_entry("entry-2", "catania")
        await anyio.sleep(2)
        assert restarted.crashes.is_blocked("d", anyio.current_time())

    run_in_direct_world(scenario, names, data_centres=CENTRES[:centres])


def test_completely_answered_request_is_cleared_at_all_entries() -> None:
    local, remote = CrashTracker(), CrashTracker()
    crash_three_targets(local, "d", now=10.0)
    remote.merge("entry-1", local.report(10.0), 10.0)
    assert remote.is_blocked("d", 10.0)
    remote.note_complete_response("d", 11.0)
    local.merge("entry-2", remote.report(11.5), 11.5)
    assert not local.is_blocked("d", 11.5)
    local.note_crash("d", "target-9", 12.0, 12.1)
    assert local.crash_count("d") == 0


def test_response_soon_after_a_lost_connection_withdraws_the_strike() -> None:
    tracker = CrashTracker()
    tracker.note_crash("d", "target-1", 1.0, 1.1)
    assert tracker.crash_count("d") == 1
    tracker.note_alive("target-1", sent=1.0)
    assert tracker.crash_count("d") == 1
    tracker.note_alive("target-1", sent=1.3)
    assert tracker.crash_count("d") == 0


def test_simultaneous_connection_losses_count_as_one_crash() -> None:
    tracker = CrashTracker()
    for number in range(4):
        tracker.note_crash("d", f"target-{number}", 1.0, 1.1 + number / 100)
    assert tracker.crash_count("d") == 1


def test_crash_seen_by_two_entries_counts_once() -> None:
    local, remote = CrashTracker(), CrashTracker()
    local.note_crash("d", "target-1", 1.0, 1.1)
    remote.note_crash("d", "target-1", 1.05, 1.12)
    remote.merge("entry-1", local.report(2.5), 2.5)
    assert remote.crash_count("d") == 1


def test_withdrawn_strike_is_not_reported() -> None:
    local, remote = CrashTracker(), CrashTracker()
    local.note_crash("d", "target-1", 1.0, 1.1)
    remote.merge("entry-1", local.report(1.2), 1.2)
    local.note_alive("target-1", sent=1.3)
    remote.merge("entry-1", local.report(2.5), 2.5)
    assert remote.crash_count("d") == 0


def test_request_answered_long_ago_can_be_blocked() -> None:
    tracker = CrashTracker()
    tracker.note_complete_response("d", 1.0)
    tracker.merge("entry-1", CrashWords(shut_out={"d": 0.5}), 10.0)
    assert not tracker.is_blocked("d", 10.0)
    tracker.merge("entry-1", CrashWords(shut_out={"d": 0.5}), 100.0)
    assert tracker.is_blocked("d", 100.0)


def test_blocked_request_that_is_no_longer_sent_is_forgotten() -> None:
    tracker = CrashTracker()
    crash_three_targets(tracker, "d", now=10.0)
    assert tracker.is_blocked("d", 100.0)
    tracker.report(200.0)
    assert tracker.is_blocked("d", 200.0)
    tracker.report(400.0)
    assert not tracker.is_blocked("d", 400.0)


def test_number_of_tracked_requests_is_bounded() -> None:
    tracker = CrashTracker()
    for number in range(6000):
        tracker.note_complete_response(f"whole-{number}", float(number))
        tracker.note_crash(f"d-{number}", "target-1", number + 0.5, number + 0.6)
    for number in range(6000):
        report = CrashWords(cleared={f"elsewhere-{number}": 0.0})
        tracker.merge("entry-1", report, 6000.0)
    assert len(tracker.harmless) <= 4096
    assert len(tracker.strikes) <= 512
    assert len(tracker.report(6001.0).strikes) <= 64


@pytest.mark.parametrize(
    "other",
    [
        ("salon-2", "POST", "/a", b"x"),
        ("salon", "PUT", "/a", b"x"),
        ("salon", "POST", "/a?b", b"x"),
        ("salon", "POST", "/a", b"y"),
        ("salon", "POST", "/ax", b""),
        ("salon", "POST", "/a", b"x", ("salon/1",)),
        ("salon", "POST", "/a", b"x", ("salon/1", "salon/2")),
    ],
)
def test_different_requests_have_different_digests(
    other: tuple[str, str, str, bytes] | tuple[str, str, str, bytes, tuple[str, ...]],
) -> None:
    assert request_digest(*other) != request_digest("salon", "POST", "/a", b"x")
