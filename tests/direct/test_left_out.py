"""Disabling a mechanism affects only the simulation that disables it."""

import pytest

from briarthread_entry.direct import admission_rule, group_admission, group_health
from briarthread_measure.admission_variants import VARIANTS, Variant
from briarthread_standins.load_day import LoadDay
from briarthread_standins.play_load import play_load

SHORT = LoadDay(rate=40.0, seconds=1.0, outage_at=0.3, outage_seconds=0.3)


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
        tally = play_load(SHORT, variant.prepare)
    assert current_values() == before
    assert tally.asked > 20
    assert tally.in_time + tally.late + tally.refused_twice + tally.lost == tally.asked


def test_variants_have_unique_names() -> None:
    assert len({variant.name for variant in VARIANTS}) == len(VARIANTS)
