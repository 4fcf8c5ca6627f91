"""Peers that did not answer are skipped for a period."""

import anyio

from briarthread_common.utils.passed_over import PassedOver
from briarthread_standins.virtual_time import run_virtual


def test_peer_without_answer_is_skipped_until_its_period_ends() -> None:
    async def run() -> None:
        passed_over = PassedOver(2.0)
        passed_over.note("b", "c")
        await anyio.sleep(1.0)
        passed_over.note("c")
        assert passed_over.others(["c", "b", "a"]) == ["a"]
        await anyio.sleep(1.0)
        assert passed_over.others(["c", "b", "a"]) == ["b", "a"]
        await anyio.sleep(1.0)
        assert passed_over.others(["c", "b", "a"]) == ["c", "b", "a"]

    run_virtual(run)
