"""Whether a lock-step group serves at all."""

from dataclasses import dataclass

PROBE_INTERVAL_SECONDS = 0.3
"""Pause between two requests sent to a group that is not serving, to see
whether it does again. A group forms anew within some hundred milliseconds."""
TYPICAL_OUTAGE_SECONDS = 5.0
"""Typical duration of a group outage, in seconds, such as when a data centre is cut
off or a rank is down; the remaining downtime is estimated from it."""
MIN_RECOVERY_SECONDS = 0.3
"""Least time, s, after which a group that is away is expected back."""
RELAXED_PROBE_INTERVAL_SECONDS = 3.0
"""The same while another group of the service has room: a request that meets a
broken group then takes a repeat out of the retry budget, and 40 entries that
probe three times a second would use it up within some seconds."""
REPORT_DELAY_SECONDS = 0.6
"""Time after the last refusal before an agent's word that the group serves
counts: the word may be half a second old."""


@dataclass(slots=True)
class GroupHealth:
    """
    Record whether the group was last seen broken; times are the runtime's.

    ``broken_since`` is when it broke and ``recovered_at`` when it served again. A
    broken group fails whatever is sent to any of its ranks. So one request at a time
    finds out, and all others are refused at once.

    >>> health = GroupHealth()
    >>> health.note_broken(now=1.0)
    True
    >>> health.may_send(now=1.1), health.may_send(now=1.4), health.may_send(now=1.5)
    (False, True, False)
    >>> health.seconds_to_recovery(now=2.0), health.seconds_to_recovery(now=9.0)
    (4.0, 0.3)
    >>> health.note_serving(now=9.0)
    True
    """

    broken: bool = False
    broken_since: float = 0.0
    refused_at: float = 0.0
    next_probe: float = 0.0
    recovered_at: float = float("-inf")

    def note_broken(self, now: float) -> bool:
        """Record that the group was seen broken; tell if that is new."""
        new = not self.broken
        if new:
            self.broken_since = now
        self.broken = True
        self.refused_at = now
        self.next_probe = now + PROBE_INTERVAL_SECONDS
        return new

    def note_serving(self, now: float) -> bool:
        """Record that the group serves; tell if that is new."""
        if not self.broken:
            return False
        self.broken = False
        self.recovered_at = now
        return True

    def note_reported_serving(self, now: float) -> bool:
        """Record an agent's word that it serves; tell if that is news."""
        if now - self.refused_at < REPORT_DELAY_SECONDS:
            return False
        return self.note_serving(now)

    def seconds_to_recovery(self, now: float) -> float:
        """Return in how many seconds the group is expected to serve again."""
        if not self.broken:
            return 0.0
        return max(
            TYPICAL_OUTAGE_SECONDS - (now - self.broken_since), MIN_RECOVERY_SECONDS
        )

    def may_send(self, now: float, has_alternative: bool = False) -> bool:
        """
        Tell whether a request may go to the group; a probe is taken by it.

        ``has_alternative`` tells that there is room in another group.
        """
        if not self.broken:
            return True
        spared = (
            RELAXED_PROBE_INTERVAL_SECONDS - PROBE_INTERVAL_SECONDS
            if has_alternative
            else 0.0
        )
        if now < self.next_probe + spared:
            return False
        self.next_probe = now + PROBE_INTERVAL_SECONDS
        return True
