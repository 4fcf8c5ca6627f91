"""A caller's request to a direct target."""

from dataclasses import dataclass

from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.host_route import HostRoute


@dataclass(frozen=True, slots=True)
class DirectRequest:
    """
    Hold a request as read; ``headers`` are those that go on to the target.

    ``path`` is the path with its query, as the caller wrote it. ``arrived``
    and ``deadline`` are seconds of the runtime's clock; the deadline is the
    earlier of the caller's and the route's. ``caller_timeout`` is how many seconds
    the caller itself was ready to wait, ``None`` where it did not say. ``digest`` is
    the same for the same request of one account.
    """

    id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    route: HostRoute
    service: DirectService
    account: str
    priority: int
    arrived: float
    deadline: float
    caller_timeout: float | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event_id: int | None = None
    digest: str = ""

    def caller_time_left(self, now: float) -> float:
        """Return the seconds that the caller itself still waits."""
        if self.caller_timeout is None:
            return self.deadline - now
        return self.arrived + self.caller_timeout - now
