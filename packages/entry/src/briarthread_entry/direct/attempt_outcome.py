"""How one attempt at a direct target ended."""

from dataclasses import dataclass

from briarthread_common.core.exceptions import RequestError


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """The target's whole answer; ``headers`` go on to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamRelayed:
    """
    The caller has the whole stream.

    ``first_event_at`` is when its first event went out on the runtime's clock,
    ``None`` for a stream without events; ``longest_pause`` is in seconds.
    """

    first_event_at: float | None = None
    longest_pause: float = 0.0


@dataclass(frozen=True, slots=True)
class NotRun:
    """
    The target did not run the attempt and never will.

    ``written`` says whether the attempt was sent at all; ``replaced`` that
    another target answers at the address now; ``faulty_rank`` names the rank of
    its group that the target says is at fault.
    """

    error: RequestError
    written: bool = True
    replaced: bool = False
    faulty_rank: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """
    The attempt may have run, and its answer is lost or spoilt.

    ``connection_lost`` says that the connection ended before all of it was there.
    """

    error: RequestError
    connection_lost: bool = False


@dataclass(frozen=True, slots=True)
class RankTooSlow:
    """
    The stream was broken off to go on at another rank.

    Its own takes ``factor`` times longer than usual.
    """

    factor: float


DirectOutcome = TargetResponse | StreamRelayed | NotRun | OutcomeUnknown | RankTooSlow
