"""Route of a host."""

from dataclasses import dataclass

from briarthread_common.direct.call_kind import CallKind


@dataclass(frozen=True, slots=True)
class RouteShare:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class HostRoute:
    """
    Route the requests of a host and a path prefix to services.

    Times are in seconds. ``timeout`` bounds the time to the complete answer. ``slo``
    is the latency objective of the answer (of a stream, of its first event),
    ``gap_slo`` that of the gap between two events. A lower ``priority`` is served
    first. ``max_attempts`` is the number of targets to which one request may be sent.
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
    def retryable(self) -> bool:
        """Tell whether a request that may have run may be retried."""
        match self.kind:
            case CallKind.SAFE:
                return True
            case CallKind.UNSAFE:
                return False
            case CallKind.STREAM:
                return self.resumable
