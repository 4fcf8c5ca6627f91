"""Outcomes of an attempt at a direct target."""

from dataclasses import dataclass

from briarthread_common.core.exceptions import RequestError

MISDIRECTED_REQUEST = 421
"""Status with which a target refuses a request that was meant for another one, or for
another version of it (RFC 9110, 15.5.20)."""


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """The target's complete response; ``headers`` are forwarded to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamRelayed:
    """
    The complete stream was relayed to the caller.

    ``first_event_at`` is the time at which the first event was sent, on the event
    loop's clock, ``None`` for a stream without events. ``longest_pause`` is in seconds.
    """

    first_event_at: float | None = None
    longest_pause: float = 0.0


@dataclass(frozen=True, slots=True)
class NotRun:
    """
    The target did not run the attempt and never will.

    ``written`` is false if the request was not sent. ``misdirected`` is true if it was
    refused as meant for another target or version. ``faulty_rank`` is the rank of the
    group that the target reported as the cause, empty if it reported none.
    ``has_ended`` is false if the target's refusal did not end in time.
    """

    error: RequestError
    written: bool = True
    misdirected: bool = False
    faulty_rank: str = ""
    has_ended: bool = True


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """
    The attempt may have run, but its response was lost or is invalid.

    ``connection_lost`` is true if the connection ended before the whole response came,
    ``foreign_response`` if what came over a connection that had carried other requests
    belongs to one of them. Both say nothing of the target's response to this one.
    """

    error: RequestError
    connection_lost: bool = False
    foreign_response: bool = False


@dataclass(frozen=True, slots=True)
class RankTooSlow:
    """
    The stream was cancelled so that it continues on another rank.

    ``factor`` is how many times slower than usual the rank is.
    """

    factor: float


@dataclass(frozen=True, slots=True)
class TargetSilent:
    """
    The attempt was cancelled so that the request is repeated at another target.

    ``seconds`` is for how long the attempt was not answered.
    """

    seconds: float


DirectOutcome = (
    TargetResponse
    | StreamRelayed
    | NotRun
    | OutcomeUnknown
    | RankTooSlow
    | TargetSilent
)
