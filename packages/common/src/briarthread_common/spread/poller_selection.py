"""Which entries of a data centre read the platform for all."""

from briarthread_common.messages.instance import Instance
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.hashing import rendezvous_order


class PollerSelection:
    """
    Tell who polls the platform, alike in every process that knows the same list.

    ``poller_count`` is how many entries of the data centre do. The order is worked out
    once a list: who polls is asked many times a second.
    """

    def __init__(
        self, name: str, data_centre: str, directory: Directory, poller_count: int
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.directory = directory
        self.poller_count = poller_count
        self.rows: dict[str, Instance] | None = None
        self.order: list[str] = []

    def names(self) -> list[str]:
        """Return the names of the entries here that are to poll."""
        rows = self.directory.all()
        if self.rows is not rows:
            self.rows = rows
            here = self.directory.entries(self.data_centre)
            self.order = rendezvous_order("poll", [row.name for row in here])
        return self.order[: self.poller_count]

    def addresses(self) -> list[str]:
        """Return where those who are to poll are called."""
        names = self.names()
        return [self.directory.all()[name].address for name in names]

    def selected(self) -> bool:
        """
        Tell whether this process is to poll.

        Without a list, or where no entry is listed, everyone is, and so is one
        that is not listed itself.
        """
        names = self.names()
        if not names:
            return True
        return self.name in names or self.name not in self.directory.all()
