"""How one attempt ended."""

from dataclasses import dataclass

from briarthread_common.core.exceptions import RequestError


@dataclass(frozen=True, slots=True)
class ResponseRelayed:
    """The caller has the whole answer."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """It is proved that the attempt did not run and never will."""

    error: RequestError


@dataclass(frozen=True, slots=True)
class Failed:
    """The agent says that the run failed; it may have had an effect."""

    error: RequestError


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Nothing is known of the attempt."""

    error: RequestError


Failure = NotRun | Failed | OutcomeUnknown
AttemptOutcome = ResponseRelayed | Failure
