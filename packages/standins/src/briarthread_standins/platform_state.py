"""The state of the platform stand-in."""

from dataclasses import asdict
from enum import StrEnum

import msgspec

from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.messages.instance import Instance
from briarthread_common.platform.table_messages import (
    ABSENT,
    Row,
    Transaction,
    TransactionAnswer,
)


class PlatformMode(StrEnum):
    """
    The behaviour of the platform stand-in.

    With ``LOST`` it commits a transaction and then sends no response.
    """

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOST = "lost"


class PlatformState:
    """The rows of the table and the instance list."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.instances = Feed("instances")
        self.mode = PlatformMode.UP
        self.delay = 0.0
        self.reads = 0
        self.writes = 0

    def commit(self, transaction: Transaction) -> TransactionAnswer:
        """Apply a transaction if all its checks hold."""
        conflicts = [
            check.key
            for check in transaction.checks
            if self.version(check.key) != check.version
        ]
        if conflicts:
            return TransactionAnswer(False, conflicts)
        for write in transaction.writes:
            self.writes += 1
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                version = self.version(write.key) + 1
                self.rows[write.key] = Row(write.key, write.value, version)
        return TransactionAnswer(True)

    def version(self, key: str) -> int:
        """Return the version of a row, ``ABSENT`` if it does not exist."""
        row = self.rows.get(key)
        return row.version if row else ABSENT

    def put_instances(self, instances: list[Instance]) -> None:
        """Add instances to the list, or update their entries."""
        self._install({row.name: _encode(row) for row in instances})

    def remove_instances(self, names: list[str]) -> None:
        """Remove instances from the list."""
        self._install(dict.fromkeys(names))

    def _install(self, changes: dict[str, str | None]) -> None:
        number = self.instances.number
        self.instances.install(FeedPatch("instances", number, number + 1, changes))


def _encode(instance: Instance) -> str:
    return msgspec.json.encode(asdict(instance)).decode()
