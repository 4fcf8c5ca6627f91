"""Progress of a target with an attempt."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """
    State how much of the response to an attempt has been received.

    ``head_at`` and ``last_event_at`` are times on the event loop's clock, ``None``
    before the head or the first event. ``events`` is the number of events,
    ``call_number`` that of the calls on the connection with this one, 0 before the
    head.
    """

    head_at: float | None = None
    events: int = 0
    last_event_at: float | None = None
    call_number: int = 0

    def last_received_at(self, began: float) -> float:
        """
        Return when anything was last received of an attempt that ``began`` then.

        >>> progress = AttemptProgress(1.0)
        >>> AttemptProgress().last_received_at(0.5), progress.last_received_at(0.5)
        (0.5, 1.0)
        """
        times = (began, self.head_at, self.last_event_at)
        return max(at for at in times if at is not None)

    def __str__(self) -> str:
        """
        Return a short description for logs.

        >>> str(AttemptProgress()), str(AttemptProgress(1.0))
        ('no response', 'response head, no event')
        >>> str(AttemptProgress(1.0, 3, 1.2))
        '3 events'
        """
        if self.events:
            return f"{self.events} events"
        return "no response" if self.head_at is None else "response head, no event"
