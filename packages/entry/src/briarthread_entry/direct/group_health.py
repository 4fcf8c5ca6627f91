"""Whether a lock-step group serves at all."""

from dataclasses import dataclass

PROBE_SECONDS = 0.3
"""Pause between two requests sent to a group that is not serving, to see
whether it does again. A group forms anew within some hundred milliseconds."""
USUAL_OUTAGE = 5.0
"""Typical duration of a group outage, in seconds, such as when a data centre is cut
off or a rank is down; the remaining downtime is estimated from it."""
SOON = 0.3
"""Least time, s, after which a group that is away is expected back."""
SPARED_PROBE_SECONDS = 3.0
"""The same while another group of the service has room: a request that meets a
broken group then takes a repeat out of the retry budget, and 40 entries that
probe three times a second would use it up within some seconds."""
CONFIRM_SECONDS = 0.6
"""Time after the last refusal before an agent's word that the group serves
counts: the word may be half a second old."""


@dataclass(slots=True)
class GroupHealth:
    """
    Record whether the group was last seen broken; times are the runtime's.

    ``since`` is when it broke and ``back_at`` when it served again. A broken
    group fails whatever is sent to any of its ranks. So one request at a time
    finds out, and all others are refused at once.

    >>> health = GroupHealth()
    >>> health.note_broken(now=1.0)
    True
    >>> health.may_send(now=1.1), health.may_send(now=1.4), health.may_send(now=1.5)
    (False, True, False)
    >>> health.expected_back(now=2.0), health.expected_back(now=9.0)
    (4.0, 0.3)
    >>> health.note_serving(now=9.0)
    True
    """

    broken: bool = False
    since: float = 0.0
    refused_at: float = 0.0
    next_probe: float = 0.0
    back_at: float = float("-inf")

    def note_broken(self, now: float) -> bool:
        """Record that the group was seen broken; tell if that is new."""
        new = not self.broken
        if new:
            self.since = now
        self.broken = True
        self.refused_at = now
        self.next_probe = now + PROBE_SECONDS
        return new

    def note_serving(self, now: float) -> bool:
        """Record that the group serves; tell if that is new."""
        if not self.broken:
            return False
        self.broken = False
        self.back_at = now
        return True

    def note_said_serving(self, now: float) -> bool:
        """Record an agent's word that it serves; tell if that is news."""
        if now - self.refused_at < CONFIRM_SECONDS:
            return False
        return self.note_serving(now)

    def expected_back(self, now: float) -> float:
        """Return in how many seconds the group is expected to serve again."""
        if not self.broken:
            return 0.0
        return max(USUAL_OUTAGE - (now - self.since), SOON)

    def may_send(self, now: float, elsewhere: bool = False) -> bool:
        """
        Tell whether a request may go to the group; a probe is taken by it.

        ``elsewhere`` tells that there is room in another group.
        """
        if not self.broken:
            return True
        spared = SPARED_PROBE_SECONDS - PROBE_SECONDS if elsewhere else 0.0
        if now < self.next_probe + spared:
            return False
        self.next_probe = now + PROBE_SECONDS
        return True
