"""Selection of the entries of a data centre that poll the platform."""

from briarthread_common.messages.instance import Instance
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.hashing import rendezvous_order


class PollerSelection:
    """
    Select the entries that poll the platform, by rendezvous hashing.

    Every process that knows the same list of instances selects the same ones.
    ``poller_count`` is the number of entries of the data centre that poll. The order
    is computed once per list because it is queried many times a second.
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
        """Return the names of this data centre's pollers."""
        rows = self.directory.all()
        if self.rows is not rows:
            self.rows = rows
            local_entries = self.directory.entries(self.data_centre)
            self.order = rendezvous_order("poll", [row.name for row in local_entries])
        return self.order[: self.poller_count]

    def addresses(self) -> list[str]:
        """Return the addresses of this data centre's pollers."""
        names = self.names()
        return [self.directory.all()[name].address for name in names]

    def selected(self) -> bool:
        """
        Tell whether this process is to poll.

        Every process polls while no entry is listed, and so does a process that is
        not listed itself.
        """
        names = self.names()
        if not names:
            return True
        return self.name in names or self.name not in self.directory.all()
