"""A request that crashes whatever begins to run it, and the requests beside it."""

from dataclasses import replace

import anyio
import pytest
from direct_builders import in_direct_world

from briarthread_common.messages.crash_words import CrashWords
from briarthread_entry.direct.crash_tracker import CrashTracker
from briarthread_entry.direct.request_digest import request_digest
from briarthread_standins.crash_day import CRASHING, PLAIN, CrashDay
from briarthread_standins.direct_world import DirectWorld
from briarthread_standins.play_crashes import play_crashes

STABLE_SECONDS = 3.0
"""Time after the third crash from which on hardly any target is given it."""
MOST_LATER = 3

CENTRES = ("palermo", "catania", "messina", "siracusa", "trapani")


@pytest.mark.parametrize("name", CRASHING)
def test_request_that_crashed_three_targets_reaches_hardly_any_more(name: str) -> None:
    """
    A request comes again and again, at any entry, and crashes each target.

    Each time it was sent on within the route's attempts and the retry budget; nothing
    remembered it once it was answered, and no entry told another. Now entries tell
    each other, with what they have running, what targets crashed with.
    """
    tally = play_crashes(CRASHING[name])
    assert len(tally.crashes) >= 3
    assert tally.arrivals_after(3, STABLE_SECONDS) <= MOST_LATER
    assert tally.shut_out == 1
    assert tally.answers[502] >= 5


def test_plain_requests_beside_it_are_all_served() -> None:
    tally = play_crashes(CRASHING["plain, safe"])
    assert set(tally.statuses) == {200}


KILLS = {
    "one a second": replace(PLAIN, kills=1),
    "two a second": replace(PLAIN, kills=2),
    "many, back at once": replace(PLAIN, kills=4, down=1.0),
    "unsafe": replace(PLAIN, kind="unsafe", kills=2),
    "under load": replace(PLAIN, kills=2, rate=100.0, entries=9, down=2.0),
    "ranks": CrashDay(kills=1, rate=8.0, down=0.5),
}


@pytest.mark.parametrize("name", KILLS)
def test_nobody_is_shut_out_while_targets_crash_by_themselves(name: str) -> None:
    """A third of the requests are the same to the letter, as a list that many read."""
    day = replace(KILLS[name], every=100.0, alike=0.3, seconds=20.0)
    tally = play_crashes(day)
    assert tally.statuses[200] > 0
    assert tally.shut_out == 0


def struck(book: CrashTracker, digest: str, now: float) -> None:
    """Let a request crash three targets one after the other."""
    for number in range(3):
        at = now - 6.0 + 2.0 * number
        book.note_crash(digest, f"target-{number}", at, at + 0.1)


@pytest.mark.parametrize(("entries", "centres"), [(9, 3), (54, 5)])
def test_every_entry_knows_within_a_second_and_a_new_one_too(
    entries: int, centres: int
) -> None:
    names = tuple(f"entry-{number}" for number in range(entries))

    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(2)
        now = anyio.current_time()
        struck(world.entries["entry-1"].crashes, "d", now)
        await anyio.sleep(1.0)
        assert all(entry.crashes.blocked for entry in world.entries.values())
        world.kill_entry("entry-1")
        world.kill_entry("entry-2")
        await anyio.sleep(1)
        again = world.add_entry("entry-2", "catania")
        await anyio.sleep(2)
        assert again.crashes.is_blocked("d", anyio.current_time())

    in_direct_world(scenario, names, data_centres=CENTRES[:centres])


def test_request_that_is_answered_whole_is_cleared_everywhere() -> None:
    here, there = CrashTracker(), CrashTracker()
    struck(here, "d", now=10.0)
    there.merge("entry-1", here.report(10.0), 10.0)
    assert there.is_blocked("d", 10.0)
    there.note_complete_response("d", 11.0)
    here.merge("entry-2", there.report(11.5), 11.5)
    assert not here.is_blocked("d", 11.5)
    here.note_crash("d", "target-9", 12.0, 12.1)
    assert here.crash_count("d") == 0


def test_target_that_answers_again_at_once_did_not_crash() -> None:
    book = CrashTracker()
    book.note_crash("d", "target-1", 1.0, 1.1)
    assert book.crash_count("d") == 1
    book.note_alive("target-1", sent=1.0)
    assert book.crash_count("d") == 1
    book.note_alive("target-1", sent=1.3)
    assert book.crash_count("d") == 0


def test_targets_that_break_off_together_count_as_one_crash() -> None:
    book = CrashTracker()
    for number in range(4):
        book.note_crash("d", f"target-{number}", 1.0, 1.1 + number / 100)
    assert book.crash_count("d") == 1


def test_one_crash_counts_once_whoever_saw_it() -> None:
    here, there = CrashTracker(), CrashTracker()
    here.note_crash("d", "target-1", 1.0, 1.1)
    there.note_crash("d", "target-1", 1.05, 1.12)
    there.merge("entry-1", here.report(2.5), 2.5)
    assert there.crash_count("d") == 1


def test_nobody_else_hears_of_a_crash_that_was_none() -> None:
    here, there = CrashTracker(), CrashTracker()
    here.note_crash("d", "target-1", 1.0, 1.1)
    there.merge("entry-1", here.report(1.2), 1.2)
    here.note_alive("target-1", sent=1.3)
    there.merge("entry-1", here.report(2.5), 2.5)
    assert there.crash_count("d") == 0


def test_request_that_was_answered_long_ago_can_be_shut_out() -> None:
    book = CrashTracker()
    book.note_complete_response("d", 1.0)
    book.merge("entry-1", CrashWords(shut_out={"d": 0.5}), 10.0)
    assert not book.is_blocked("d", 10.0)
    book.merge("entry-1", CrashWords(shut_out={"d": 0.5}), 100.0)
    assert book.is_blocked("d", 100.0)


def test_request_that_is_not_asked_any_more_is_forgotten() -> None:
    book = CrashTracker()
    struck(book, "d", now=10.0)
    assert book.is_blocked("d", 100.0)
    book.report(200.0)
    assert book.is_blocked("d", 200.0)
    book.report(400.0)
    assert not book.is_blocked("d", 400.0)


def test_what_is_remembered_is_bounded() -> None:
    book = CrashTracker()
    for number in range(6000):
        book.note_complete_response(f"whole-{number}", float(number))
        book.note_crash(f"d-{number}", "target-1", number + 0.5, number + 0.6)
    for number in range(6000):
        words = CrashWords(cleared={f"elsewhere-{number}": 0.0})
        book.merge("entry-1", words, 6000.0)
    assert len(book.harmless) <= 4096
    assert len(book.strikes) <= 512
    assert len(book.report(6001.0).strikes) <= 64


@pytest.mark.parametrize(
    "other",
    [
        ("salon-2", "POST", "/a", b"x"),
        ("salon", "PUT", "/a", b"x"),
        ("salon", "POST", "/a?b", b"x"),
        ("salon", "POST", "/a", b"y"),
        ("salon", "POST", "/ax", b""),
    ],
)
def test_requests_that_differ_are_told_apart(
    other: tuple[str, str, str, bytes],
) -> None:
    assert request_digest(*other) != request_digest("salon", "POST", "/a", b"x")
