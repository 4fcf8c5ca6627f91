"""Disabling a mechanism affects only the simulation that disables it."""

import pytest

from briarthread_entry.direct.admission import admission_rule, group_admission
from briarthread_entry.direct.groups import group_health
from briarthread_measure.admission_variants import VARIANTS, Variant
from briarthread_standins.load_scenario import LoadScenario
from briarthread_standins.load_simulation import simulate_load

SHORT = LoadScenario(rate=40.0, seconds=1.0, outage_at=0.3, outage_seconds=0.3)


def current_values() -> list[object]:
    """Return the values that the variants replace."""
    return [
        admission_rule.NEW_CALLER_RESERVE,
        admission_rule.spread_retry_after,
        group_admission.MAX_WAIT_SECONDS,
        group_health.TYPICAL_OUTAGE_SECONDS,
        group_health.GroupHealth.may_send,
    ]


@pytest.mark.parametrize("variant", VARIANTS, ids=lambda variant: variant.name)
def test_variant_runs_and_restores_the_code(variant: Variant) -> None:
    before = current_values()
    with variant.applied():
        assert (current_values() != before) == bool(variant.patches)
        results = simulate_load(SHORT, variant.prepare)
    assert current_values() == before
    assert results.requests > 20
    assert (
        results.in_time + results.late + results.refused_twice + results.lost
        == results.requests
    )


def test_variants_have_unique_names() -> None:
    assert len({variant.name for variant in VARIANTS}) == len(VARIANTS)
