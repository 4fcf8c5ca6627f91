"""A caller's request to a direct target."""

from dataclasses import dataclass

from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.host_route import HostRoute
from briarthread_entry.direct.memory.held_bytes import HeldBytes


@dataclass(frozen=True, slots=True)
class DirectRequest:
    """
    Hold a parsed request; ``headers`` are those that are forwarded to the target.

    ``path`` is the path with its query, as sent by the caller. ``arrived`` and
    ``deadline`` are seconds of the runtime's clock; the deadline is the earlier of the
    caller's and the route's. ``caller_timeout`` is the number of seconds for which the
    caller waits, ``None`` if it did not state any. ``digest`` is the same for identical
    requests of one account. ``segments`` are the keys of the prompt's segments that
    other prompts may share, in order. ``held`` counts the bytes that are held for the
    request, ``None`` if they are not counted.
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
    segments: tuple[str, ...] = ()
    held: HeldBytes | None = None

    def caller_time_left(self, now: float) -> float:
        """Return the seconds for which the caller still waits."""
        if self.caller_timeout is None:
            return self.deadline - now
        return self.arrived + self.caller_timeout - now
