"""How one attempt ended."""

from dataclasses import dataclass

from briarthread_common.core.exceptions import RequestError


@dataclass(frozen=True, slots=True)
class Answered:
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
class Lost:
    """Nothing is known of the attempt."""

    error: RequestError


Failure = NotRun | Failed | Lost
AttemptOutcome = Answered | Failure
