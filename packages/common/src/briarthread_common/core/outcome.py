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
