"""Peers that did not answer are skipped for a period."""

import anyio

from briarthread_common.utils.recent_failures import RecentFailures
from briarthread_standins.virtual_time import run_virtual


def test_peer_without_answer_is_skipped_until_its_period_ends() -> None:
    async def run() -> None:
        failures = RecentFailures(2.0)
        failures.add("b", "c")
        await anyio.sleep(1.0)
        failures.add("c")
        assert failures.without_recent(["c", "b", "a"]) == ["a"]
        await anyio.sleep(1.0)
        assert failures.without_recent(["c", "b", "a"]) == ["b", "a"]
        await anyio.sleep(1.0)
        assert failures.without_recent(["c", "b", "a"]) == ["c", "b", "a"]

    run_virtual(run)
