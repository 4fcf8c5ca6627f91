"""What one connection holds of the memory for the clients of its address."""

from briarthread_common.http.clients.clients import Clients


class HeldShare:
    """
    Count what a connection holds.

    >>> share = HeldShare(Clients())
    >>> share.hold(20_000), share.size, share.clients.held
    (True, 20000, 3616)
    >>> share.release()
    >>> share.clients.held
    0
    """

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.size = 0

    def hold(self, size: int) -> bool:
        """Count the size if it fits; return whether it does."""
        fits = self.clients.hold(self.size, size)
        if fits:
            self.size = size
        return fits

    def note(self, size: int) -> None:
        """Count a size that is held already, whether it fits or not."""
        self.clients.note_held(self.size, size)
        self.size = size

    def release(self) -> None:
        """Count nothing more."""
        self.note(0)
