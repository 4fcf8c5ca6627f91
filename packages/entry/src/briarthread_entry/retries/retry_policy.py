"""Rules and delays of retries after failed attempts."""

import random

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.utils.doubled_pause import doubled_pause

MEMBERSHIP_KINDS = frozenset(
    {
        ErrorKind.DRAINING,
        ErrorKind.WRONG_INCARNATION,
        ErrorKind.NOT_HOLDER,
        ErrorKind.UNKNOWN_SERVICE,
    }
)
"""
Refusals caused by changes of instances; their retries are not charged.

An agent does not serve a service if a row names its address by mistake.
"""

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
"""Failures that retries could aggravate; each retry is charged to the budget."""

EJECTION_KINDS = frozenset(
    {
        ErrorKind.NO_TARGET,
        ErrorKind.TARGET_FAILED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.UNKNOWN_SERVICE,
    }
)
"""
Failures that count towards the ejection of a target.

Late responses and revoked attempts are excluded: both come from a target that is
alive but overloaded, and ejecting it would remove capacity when it is scarce.
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
Refusals that a holder sends after looking the key up.

Revoked attempts are excluded: the agent that revokes one may no longer hold the
share, or may hold it only since an earlier attempt ran on another holder.
"""

MAX_ATTEMPTS = 3
MAX_HOLDER_ATTEMPTS = 10
"""Most attempts of a request that only the holder of its share may run."""
BASE_DELAY_SECONDS = 0.02
MAX_DELAY_SECONDS = 0.5


def retry_delay(attempt: int, rng: random.Random) -> float:
    """Return the delay before a retry in seconds: exponential, with jitter."""
    bound = doubled_pause(BASE_DELAY_SECONDS, attempt, MAX_DELAY_SECONDS)
    return bound * rng.uniform(0.5, 1.0)
