"""What an agent says of its load."""

from dataclasses import dataclass

HEARTBEAT_SECONDS = 5.0


def heartbeat_interval(every: float) -> float:
    """
    Return the longest time in seconds between two lines of a stream.

    ``every`` is the shortest one, which the entry asked for.
    """
    return max(HEARTBEAT_SECONDS, every)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """
    Describe an agent's load; short names keep a line small on the wire.

    ``i`` is the incarnation, ``r`` the attempts running, ``q`` the attempts
    queued, ``s`` the slots, ``m`` the mean service time in milliseconds,
    ``d`` whether the agent drains, ``b`` the remaining backoff of its target in
    seconds, ``n`` a number that grows with every report of the incarnation, so that a
    late one is dropped.
    """

    i: str
    n: int
    r: int
    q: int
    s: int
    m: float
    d: bool = False
    b: float = 0.0
