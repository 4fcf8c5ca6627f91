"""The retry budget of an entry whose targets have agents."""

from briarthread_entry.retries.retry_budget import RetryBudget

SECONDS = 20
FAILURES_PER_SECOND = 10


def count_retries(restart_interval: int) -> int:
    """Return the retries of an entry with steady failures that is restarted."""
    retries = 0
    for second in range(SECONDS):
        if second % restart_interval == 0:
            budget = RetryBudget(started=float(second))
        for failure in range(FAILURES_PER_SECOND):
            retries += budget.spend(second + failure / FAILURES_PER_SECOND)
    return retries


def test_entry_that_is_restarted_again_and_again_retries_no_more_than_another() -> None:
    assert count_retries(restart_interval=SECONDS) > 0
    assert count_retries(restart_interval=2) <= count_retries(restart_interval=SECONDS)
