"""Health of a lock-step group: whether it serves requests."""

from dataclasses import dataclass

PROBE_INTERVAL_SECONDS = 0.3
"""Pause between two probe requests to a group that is not serving; a group is formed
again within some hundred milliseconds."""
TYPICAL_OUTAGE_SECONDS = 5.0
"""Typical duration of a group outage, for example while a data centre is cut off or a
rank is down. The remaining downtime is estimated from it."""
MIN_RECOVERY_SECONDS = 0.3
"""Lower bound of the estimated time until a group recovers."""
RELAXED_PROBE_INTERVAL_SECONDS = 3.0
"""Pause between two probe requests while another group of the service has capacity.

A probe of a broken group then costs a retry from the retry budget, and 40 entries that
probe three times a second would exhaust the budget within some seconds.
"""
REPORT_DELAY_SECONDS = 0.6
"""Time after the last refusal during which an agent's report that the group serves is
ignored: the report may be half a second old."""


@dataclass(slots=True)
class GroupHealth:
    """
    Record whether a group was last observed as broken; times are the runtime's.

    ``broken_since`` is when it broke and ``recovered_at`` when it served again. A
    broken group fails every request to any of its ranks, so one request at a time
    probes it and all others are refused at once.

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
        """Record that the group is broken; return whether that is a change."""
        is_new = not self.broken
        if is_new:
            self.broken_since = now
        self.broken = True
        self.refused_at = now
        self.next_probe = now + PROBE_INTERVAL_SECONDS
        return is_new

    def note_serving(self, now: float) -> bool:
        """Record that the group serves; return whether that is a change."""
        if not self.broken:
            return False
        self.broken = False
        self.recovered_at = now
        return True

    def note_reported_serving(self, now: float) -> bool:
        """Record an agent's report that it serves; return whether that is a change."""
        if now - self.refused_at < REPORT_DELAY_SECONDS:
            return False
        return self.note_serving(now)

    def seconds_to_recovery(self, now: float) -> float:
        """Return the estimated number of seconds until the group serves again."""
        if not self.broken:
            return 0.0
        return max(
            TYPICAL_OUTAGE_SECONDS - (now - self.broken_since), MIN_RECOVERY_SECONDS
        )

    def may_send(self, now: float, has_alternative: bool = False) -> bool:
        """
        Return whether a request may go to the group, as a probe if it is broken.

        A call that allows a probe delays the next one. ``has_alternative`` is true
        if another group has capacity.
        """
        if not self.broken:
            return True
        extra_pause = (
            RELAXED_PROBE_INTERVAL_SECONDS - PROBE_INTERVAL_SECONDS
            if has_alternative
            else 0.0
        )
        if now < self.next_probe + extra_pause:
            return False
        self.next_probe = now + PROBE_INTERVAL_SECONDS
        return True
