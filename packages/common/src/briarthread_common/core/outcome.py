"""Outcome of a request as an error response states it."""

from enum import StrEnum


class Outcome(StrEnum):
    """
    Whether a failed request may have run.

    ``NOT_RUN`` is a guarantee and requires proof; without proof the outcome is
    ``UNKNOWN``.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""
Statuses that callers take as the promise that a request did not run and never will.

They repeat even a request that may run only once after one of these.
"""
