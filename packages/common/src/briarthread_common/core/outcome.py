"""What a failed answer promises about the request."""

from enum import StrEnum


class Outcome(StrEnum):
    """
    Tell whether a failed request may have run.

    ``NOT_RUN`` is a promise and needs proof; without proof the outcome is
    ``UNKNOWN``.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
