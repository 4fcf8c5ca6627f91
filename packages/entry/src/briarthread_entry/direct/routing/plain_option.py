"""A target of a plain service that a request may be sent to."""

from dataclasses import dataclass

from briarthread_entry.direct.targets.target_state import DirectTargetState


@dataclass(frozen=True, slots=True)
class PlainOption:
    """
    Hold what one more call to a target is expected to take, in seconds.

    ``usual_seconds`` is the observed duration of calls at the present load. ``cost``
    compares targets: it also covers the retries of failed calls, and it grows with the
    load even where durations do not, so that load is spread.
    """

    state: DirectTargetState
    usual_seconds: float
    cost: float
