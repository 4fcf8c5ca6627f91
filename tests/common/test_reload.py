"""Signals that reload the settings, also while a process starts."""

import os
import signal
from pathlib import Path

import anyio
from builders import build_supervisor
from failing_tasks import fail

from briarthread_common.conf.early_signals import EARLY_SIGNALS
from briarthread_common.conf.reload import reload_on_signal


def test_signal_during_the_start_reloads_the_settings_once() -> None:
    """Guards against a process that a SIGHUP ends before it can be handled."""
    applied: list[int] = []

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                reload_on_signal,
                Path("unused"),
                lambda path: 1,
                applied.append,
                build_supervisor(),
            )
            await anyio.sleep(0.05)
            assert applied == [1]
            os.kill(os.getpid(), signal.SIGHUP)
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    former = signal.getsignal(signal.SIGHUP)
    EARLY_SIGNALS.install()
    try:
        os.kill(os.getpid(), signal.SIGHUP)
        anyio.run(scenario)
    finally:
        signal.signal(signal.SIGHUP, former)
    assert applied == [1, 1]


def test_reload_that_fails_for_an_unknown_reason_keeps_the_old_settings() -> None:
    """Guards against a SIGHUP that ends the process, at once or at the next signal."""
    applied: list[int] = []
    loads = iter([fail, fail, lambda path: 2])

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                reload_on_signal,
                Path("unused"),
                lambda path: next(loads)(path),
                applied.append,
                build_supervisor(),
            )
            for expected in ([], [], [2]):
                await anyio.sleep(0.05)
                os.kill(os.getpid(), signal.SIGHUP)
                await anyio.sleep(0.05)
                assert applied == expected
            tasks.cancel_scope.cancel()

    former = signal.getsignal(signal.SIGHUP)
    try:
        anyio.run(scenario)
    finally:
        signal.signal(signal.SIGHUP, former)
