"""Evidence that a target answers at the address in its row."""

from dataclasses import dataclass

NEVER = float("-inf")


@dataclass(slots=True, eq=False)
class TargetPresence:
    """
    Hold what a target itself has shown at its address; times are the runtime's.

    ``listed_at`` is when its row first named the address, ``answered_at`` the start of
    the last call that the target answered itself. ``refused_at`` is the start of the
    last call that was refused in the name of another target, ``NEVER`` if a later call
    was answered. A request may provoke such a refusal, so only that of a check
    means that the target ``is_absent``, and only until the target answers.

    >>> presence = TargetPresence(listed_at=1.0)
    >>> presence.note_refusal(sent_at=2.0)
    >>> presence.is_refused
    True
    >>> presence.note_answer(sent_at=2.5)
    >>> presence.note_refusal(sent_at=2.4)
    >>> presence.is_refused
    False
    """

    listed_at: float
    answered_at: float = NEVER
    refused_at: float = NEVER
    is_absent: bool = False

    @property
    def is_refused(self) -> bool:
        """Return whether the last evidence is a refusal."""
        return self.refused_at > self.answered_at

    def note_answer(self, sent_at: float) -> None:
        """Record that the target answered a call."""
        self.answered_at = max(self.answered_at, sent_at)
        if not self.is_refused:
            self.is_absent = False

    def note_refusal(self, sent_at: float) -> None:
        """Record that a call was refused in the name of another target."""
        self.refused_at = max(self.refused_at, sent_at)

    def note_absence(self, sent_at: float) -> None:
        """Record that a check was refused in the name of another target."""
        self.note_refusal(sent_at)
        self.is_absent = self.is_refused
