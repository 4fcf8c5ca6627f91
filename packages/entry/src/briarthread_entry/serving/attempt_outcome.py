"""Outcomes of an attempt that is sent to an agent."""

from dataclasses import dataclass

from briarthread_common.core.exceptions import RequestError


@dataclass(frozen=True, slots=True)
class ResponseRelayed:
    """The complete response was relayed to the caller."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The attempt provably did not run and never will."""

    error: RequestError


@dataclass(frozen=True, slots=True)
class Failed:
    """The agent reports that the attempt failed; it may have had an effect."""

    error: RequestError


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """It is unknown whether the attempt ran."""

    error: RequestError


Failure = NotRun | Failed | OutcomeUnknown
AttemptOutcome = ResponseRelayed | Failure
