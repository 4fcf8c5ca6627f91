"""A short soak with a fixed seed; longer ones are started by hand."""

from functools import partial
from pathlib import Path

import anyio

from soak.run_soak import MIN_RECOVERED_SHARE, play

SEED = 5
FAULT_SECONDS = 10.0
REFUSALS_SECONDS = 6.0
CALLERS = 24


def test_callers_and_targets_see_no_broken_promise_while_processes_fail(
    tmp_path: Path,
) -> None:
    result = anyio.run(play, SEED, FAULT_SECONDS, CALLERS, tmp_path)
    assert result.violations == []
    assert result.recovered_share >= MIN_RECOVERED_SHARE
    assert len(result.disturbances) >= 10


def test_entries_killed_while_targets_refuse_keep_the_bound_on_retries(
    tmp_path: Path,
) -> None:
    with_refusals = partial(play, refusals=True)
    result = anyio.run(with_refusals, SEED, REFUSALS_SECONDS, CALLERS, tmp_path)
    assert result.violations == []
    assert result.recovered_share >= MIN_RECOVERED_SHARE
