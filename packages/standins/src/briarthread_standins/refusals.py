"""Refusals of a stand-in for a target that asks for a pause."""

from dataclasses import dataclass, field

import anyio

GRACE_SECONDS = 0.5
"""Time after a refusal in which requests that were under way may still arrive."""


@dataclass(slots=True)
class Refusals:
    """
    Refuse requests for a while, asking each caller for a pause.

    From ``start`` until ``end``, s, everything is refused; ``retry_after`` is the
    value of the header, ``seconds`` what it means. ``arrivals`` holds the time and the
    caller of each request, ``asked`` those of each refusal.
    """

    start: float = 0.0
    end: float = 0.0
    retry_after: str = "3"
    seconds: float = 3.0
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    asked: list[tuple[float, str]] = field(default_factory=list)

    def refuse(self, start: float, end: float, seconds: float) -> None:
        """Refuse everything for a while, asking for a pause of some seconds."""
        self.start, self.end = start, end
        self.seconds, self.retry_after = seconds, f"{seconds:g}"

    def take(self, caller: str) -> bool:
        """Record an arrival; tell whether it is refused."""
        now = anyio.current_time()
        self.arrivals.append((now, caller))
        if not self.start <= now < self.end:
            return False
        self.asked.append((now, caller))
        return True

    def most_early(self) -> int:
        """
        Return the most requests that one caller sent within a pause.

        >>> refusals = Refusals(asked=[(1.0, "a")])
        >>> refusals.arrivals += [(1.0, "a"), (2.0, "a"), (2.5, "b"), (4.5, "a")]
        >>> refusals.most_early()
        1
        """
        return max((self._early(at, caller) for at, caller in self.asked), default=0)

    def _early(self, asked: float, caller: str) -> int:
        start, end = asked + GRACE_SECONDS, asked + self.seconds
        return sum(who == caller and start <= at < end for at, who in self.arrivals)
