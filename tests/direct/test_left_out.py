"""Leaving a mechanism out is confined to its play."""

import pytest

from briarthread_entry.direct import admission_rule, group_admission, group_health
from briarthread_measure.left_out import VARIANTS, LeftOut
from briarthread_standins.load_day import LoadDay
from briarthread_standins.play_load import play_load

SHORT = LoadDay(rate=40.0, seconds=1.0, outage_at=0.3, outage_seconds=0.3)


def shipped() -> list[object]:
    """Return what the variants replace."""
    return [
        admission_rule.NEW_CALLER_RESERVE,
        admission_rule.spread_retry_after,
        group_admission.MAX_WAIT_SECONDS,
        group_health.TYPICAL_OUTAGE_SECONDS,
        group_health.GroupHealth.may_send,
    ]


@pytest.mark.parametrize("variant", VARIANTS, ids=lambda variant: variant.name)
def test_variant_plays_and_leaves_the_code_as_it_was(variant: LeftOut) -> None:
    before = shipped()
    with variant.applied():
        assert (shipped() != before) == bool(variant.patches)
        tally = play_load(SHORT, variant.prepare)
    assert shipped() == before
    assert tally.asked > 20
    assert tally.in_time + tally.late + tally.refused_twice + tally.lost == tally.asked


def test_variants_have_names_of_their_own() -> None:
    assert len({variant.name for variant in VARIANTS}) == len(VARIANTS)
