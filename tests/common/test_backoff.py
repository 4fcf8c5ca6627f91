"""Tests for the parsing of Retry-After."""

import pytest
from builders import build_head
from hypothesis import given, settings
from hypothesis import strategies as st

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.read_backoff import MAX_BACKOFF_SECONDS, read_backoff
from briarthread_common.direct.response_signals import read_response_signals

DATE = "Thu, 03 Dec 2026 10:00:00 GMT"
SEVEN_SECONDS_LATER = "Thu, 03 Dec 2026 10:00:07 GMT"


@pytest.mark.parametrize(
    ("raws", "seconds"),
    [
        (["3"], 3.0),
        (["0.25"], 0.25),
        (["0"], 0.0),
        (["2", "5"], 5.0),
        (["2, 5"], 5.0),
        (["7200"], 7200.0),
        (["1e300"], MAX_BACKOFF_SECONDS),
        (["soon", "3"], 3.0),
        (["nan, 3"], 3.0),
        (["-1, 3"], 3.0),
        ([SEVEN_SECONDS_LATER], 7.0),
        ([SEVEN_SECONDS_LATER, "9"], 9.0),
        ([DATE], 0.0),
    ],
)
def test_retry_after_is_seconds_or_an_http_date(
    raws: list[str], seconds: float
) -> None:
    assert read_backoff(raws, DATE) == seconds


@pytest.mark.parametrize(
    "raw", ["", "-1", "nan", "inf", "soon", "3;4", "1,,2", "Thu, 03"]
)
def test_invalid_retry_after_raises_decode_error(raw: str) -> None:
    with pytest.raises(DecodeError):
        read_backoff([raw], DATE)


def test_http_date_without_date_field_raises_decode_error() -> None:
    with pytest.raises(DecodeError):
        read_backoff([SEVEN_SECONDS_LATER])


def test_retry_after_is_read_from_a_503_only() -> None:
    assert read_response_signals(build_head(503, ("retry-after", "3"))).backoff == 3.0
    assert read_response_signals(build_head(200, ("retry-after", "3"))).backoff == 0.0
    assert (
        read_response_signals(build_head(503, ("retry-after", "soon"))).backoff == 0.0
    )
    assert read_response_signals(build_head(503)).backoff == 0.0


# Guards against a malformed header raising an exception out of read_response_signals.
@given(st.lists(st.text(max_size=40), max_size=3), st.text(max_size=40))
@settings(max_examples=2000, derandomize=True, deadline=None)
def test_malformed_retry_after_and_date_raise_no_error(
    raws: list[str], date: str
) -> None:
    fields = [("date", date), *(("retry-after", raw) for raw in raws)]
    assert (
        0.0
        <= read_response_signals(build_head(503, *fields)).backoff
        <= MAX_BACKOFF_SECONDS
    )
