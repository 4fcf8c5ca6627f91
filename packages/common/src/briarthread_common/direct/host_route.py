"""One route of a host."""

from dataclasses import dataclass

from briarthread_common.direct.call_kind import CallKind


@dataclass(frozen=True, slots=True)
class RouteShare:
    """Give a service its weight among those that a route is split over."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class HostRoute:
    """
    Send the requests of a host and a path prefix to services.

    Times are in seconds: ``timeout`` until the final answer, ``slo`` until
    the answer (of a stream, its first event) is still in time, ``gap_slo``
    between two events. A lower ``priority`` is served first.
    ``max_attempts`` counts the targets that one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[RouteShare, ...]
    timeout: float
    slo: float
    gap_slo: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run again after it may have run."""
        match self.kind:
            case CallKind.SAFE:
                return True
            case CallKind.UNSAFE:
                return False
            case CallKind.STREAM:
                return self.resumable
