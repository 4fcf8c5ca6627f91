"""What all tests of groups share."""

import pytest


@pytest.fixture(autouse=True)
def long_passes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the stand-in's passes count as those of a fully loaded group."""
    monkeypatch.setattr(
        "briarthread_common.placement.set_rebalance.ZERO_WEIGHT_PASS_SECONDS", 0.01
    )
    monkeypatch.setattr(
        "briarthread_common.placement.set_rebalance.FULL_WEIGHT_PASS_SECONDS", 0.02
    )
