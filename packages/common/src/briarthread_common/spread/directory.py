"""Directory of the known instances."""

from loguru import logger

from briarthread_common.core.decoding import decode_row
from briarthread_common.core.exceptions import DecodeError
from briarthread_common.feeds.feed import Feed
from briarthread_common.messages.instance import (
    Instance,
    InstanceRole,
    InstanceState,
)
from briarthread_common.utils.host_of import is_address


class Directory:
    """
    Return the instances of a feed as typed rows.

    The rows are decoded once per version of the feed.
    """

    def __init__(self, feed: Feed) -> None:
        self.feed = feed
        self.feed_version = -1
        self.rows: dict[str, Instance] = {}
        self.decoded: dict[str, tuple[str, Instance | None]] = {}

    def all(self) -> dict[str, Instance]:
        """Return all known instances by name."""
        if self.feed_version != self.feed.number:
            self.feed_version = self.feed.number
            self.decoded = {
                name: self._decode(name, raw) for name, raw in self.feed.items.items()
            }
            self.rows = {
                name: row for name, (_, row) in self.decoded.items() if row is not None
            }
        return self.rows

    def of_role(self, role: InstanceRole) -> dict[str, Instance]:
        """Return the known instances of a role in all data centres by name."""
        return {name: row for name, row in self.all().items() if row.role is role}

    def entries(self, data_centre: str) -> list[Instance]:
        """Return the live entries of a data centre in name order."""
        return self._select(InstanceRole.ENTRY, data_centre, "")

    def targets(self, service: str, data_centre: str) -> list[Instance]:
        """Return the live targets of a service in a data centre in name order."""
        return self._select(InstanceRole.TARGET, data_centre, service)

    def by_address(self, address: str) -> Instance | None:
        """Return the instance that listens at an address, or ``None``."""
        return next(
            (row for row in self.all().values() if row.address == address), None
        )

    def _select(
        self, role: InstanceRole, data_centre: str, service: str
    ) -> list[Instance]:
        rows = [
            row
            for row in self.all().values()
            if row.role is role
            and row.data_centre == data_centre
            and row.service == service
            and row.state is InstanceState.LIVE
        ]
        return sorted(rows, key=lambda row: row.name)

    def _decode(self, name: str, raw: str) -> tuple[str, Instance | None]:
        """
        Return a row as raw text and decoded.

        The decoded row is ``None`` if it is invalid, e.g. written by other software.
        """
        cached = self.decoded.get(name)
        if cached is not None and cached[0] == raw:
            return cached
        try:
            return raw, _decode_instance(name, raw)
        except DecodeError as error:
            logger.warning("spread: invalid instance row {} ignored: {}", name, error)
            return raw, None


def _decode_instance(name: str, raw: str) -> Instance:
    """Return the instance in a row, or raise DecodeError."""
    row = decode_row(raw, Instance)
    if row.name != name:
        raise DecodeError(f"it is the row of {row.name[:40]!r}")
    if not is_address(row.address):
        raise DecodeError(f"{row.address[:40]!r} is not IP:PORT")
    return row
