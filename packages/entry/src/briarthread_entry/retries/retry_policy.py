"""Which failed attempts are worth another one."""

import random

from briarthread_common.core.error_kind import ErrorKind

MEMBERSHIP_KINDS = frozenset(
    {
        ErrorKind.DRAINING,
        ErrorKind.WRONG_INCARNATION,
        ErrorKind.NOT_HOLDER,
    }
)
"""Refusals because instances come and go; they do not spend the budget."""

BUDGETED_KINDS = frozenset(
    {
        ErrorKind.NO_TARGET,
        ErrorKind.NOT_READY,
        ErrorKind.OVERLOADED,
        ErrorKind.TARGETS_BACKING_OFF,
        ErrorKind.DEADLINE_UNMEETABLE,
        ErrorKind.REVOKED,
        ErrorKind.TARGET_FAILED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.DEADLINE_PASSED,
    }
)
"""Failures that more attempts could make worse; each spends the budget."""

EJECTION_KINDS = frozenset(
    {ErrorKind.NO_TARGET, ErrorKind.TARGET_FAILED, ErrorKind.OUTCOME_UNKNOWN}
)
"""
Failures that count towards the ejection of a target.

A late answer and a revoked attempt are not among them: both come from a
target that is alive and has too much to do, and ejecting it takes away
capacity just when it is short.
"""

HOLDER_CHECKED_KINDS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.TARGETS_BACKING_OFF,
        ErrorKind.DEADLINE_UNMEETABLE,
        ErrorKind.KEY_REUSED,
    }
)
"""
Refusals that a holder gives after it has looked the key up.

A revoked attempt is not among them: the agent that revokes it may hold the
share no longer, or only since an earlier ask ran at another holder.
"""

MAX_ATTEMPTS = 3
MAX_HOLDER_ATTEMPTS = 10
BASE_DELAY = 0.02
MAX_DELAY = 0.5


def retry_delay(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before an attempt, doubling, with jitter."""
    bound = min(MAX_DELAY, BASE_DELAY * 2**attempt)
    return bound * rng.uniform(0.5, 1.0)
