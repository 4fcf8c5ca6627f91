"""Whether a lock-step group serves at all."""

from dataclasses import dataclass

PROBE_SECONDS = 0.3
"""Pause between two requests sent to a group that is not serving, to see
whether it does again. A group forms anew within some hundred milliseconds."""


@dataclass(slots=True)
class GroupHealth:
    """
    Record whether the group was last seen broken; times are the runtime's.

    A broken group fails whatever is sent to any of its ranks. So one request
    at a time finds out, and all others are refused at once.

    >>> health = GroupHealth()
    >>> health.note_broken(now=1.0)
    True
    >>> health.may_send(now=1.1), health.may_send(now=1.4), health.may_send(now=1.5)
    (False, True, False)
    >>> health.note_serving()
    True
    """

    broken: bool = False
    next_probe: float = 0.0

    def note_broken(self, now: float) -> bool:
        """Record that a rank answered for a broken group; tell if that is new."""
        new = not self.broken
        self.broken = True
        self.next_probe = now + PROBE_SECONDS
        return new

    def note_serving(self) -> bool:
        """Record that the group serves; tell if that is new."""
        new = self.broken
        self.broken = False
        return new

    def may_send(self, now: float) -> bool:
        """Tell whether a request may go to the group; a probe is taken by it."""
        if not self.broken:
            return True
        if now < self.next_probe:
            return False
        self.next_probe = now + PROBE_SECONDS
        return True
