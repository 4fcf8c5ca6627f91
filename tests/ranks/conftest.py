"""Fixtures for the tests of groups."""

import pytest


@pytest.fixture(autouse=True)
def long_passes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Treat the stand-in's passes as those of a fully loaded group."""
    monkeypatch.setattr("briarthread_common.placement.quick_change.CALM_PASS", 0.01)
    monkeypatch.setattr("briarthread_common.placement.quick_change.FULL_PASS", 0.02)
