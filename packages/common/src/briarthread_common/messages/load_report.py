"""Load report of an agent."""

from dataclasses import dataclass

HEARTBEAT_SECONDS = 5.0


def heartbeat_interval(every: float) -> float:
    """
    Return the longest time in seconds between two lines of a stream.

    ``every`` is the shortest time, which the entry requested.
    """
    return max(HEARTBEAT_SECONDS, every)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """
    Load of an agent; short field names keep a line small on the wire.

    ``i`` is the incarnation, ``r`` the number of running attempts, ``q`` that of
    queued attempts, ``s`` the slots, ``m`` the mean service time in milliseconds,
    ``d`` whether the agent is draining, ``b`` the remaining backoff of its target in
    seconds, ``n`` a sequence number within the incarnation, by which an outdated
    report is recognised and dropped.
    """

    i: str
    n: int
    r: int
    q: int
    s: int
    m: float
    d: bool = False
    b: float = 0.0
