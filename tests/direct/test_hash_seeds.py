"""Decisions do not depend on the order in which a set happens to be iterated."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

HASH_SEEDS = ("2", "5", "14", "29")
"""Seeds of the interpreter's hashes, with which loads of crashes have differed."""
SCRIPT = Path(__file__).with_name("event_digest.py")


@pytest.mark.parametrize("load", ["silent ranks", "most targets crash"])
def test_entries_decide_alike_with_any_hash_seed(load: str) -> None:
    """Guards against a segment that is blocked in one run and not in the next."""
    runs = [
        subprocess.Popen(
            [sys.executable, str(SCRIPT), load],
            env={**os.environ, "PYTHONHASHSEED": seed},
            stdout=subprocess.PIPE,
        )
        for seed in HASH_SEEDS
    ]
    digests = [run.communicate()[0] for run in runs]
    assert all(run.returncode == 0 for run in runs)
    assert len(set(digests)) == 1
