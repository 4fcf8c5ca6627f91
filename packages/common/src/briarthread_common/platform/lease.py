"""Lease on a role, stored as a row of the platform's table."""

from dataclasses import dataclass

import msgspec

from briarthread_common.core.decoding import decode_row
from briarthread_common.core.exceptions import ConflictError, DecodeError
from briarthread_common.feeds.rejected_rows import RejectedRows
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.platform.table_messages import ABSENT, RowCheck, RowWrite
from briarthread_common.utils.clock import Clock


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Holder of a role and the Unix time at which its lease expires."""

    holder: str
    expires: float


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease was acquired with this fencing token, which increases each time."""

    fence: int


@dataclass(frozen=True, slots=True)
class LeaseHeldByOther:
    """Another process holds the lease."""

    holder: str


class Lease:
    """
    Acquire a role by compare-and-set; the row's version is the fencing token.

    A holder that was paused doesn't know that its lease has expired. The lease
    alone therefore gives no mutual exclusion; a process that takes orders from the
    holder must check the fencing token. An invalid row is held by nobody;
    ``rejected_rows`` outlives the leases, so that each value is logged once.
    """

    def __init__(
        self,
        platform: PlatformClient,
        clock: Clock,
        role: str,
        seconds: float,
        rejected_rows: RejectedRows,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.key = f"leases/{role}"
        self.seconds = seconds
        self.rejected_rows = rejected_rows

    async def acquire(self, holder: str) -> LeaseAcquired | LeaseHeldByOther:
        """
        Acquire or renew the lease.

        Raise PlatformError if the platform doesn't answer; the lease may
        then still be held, with a fencing token that no process uses.
        """
        row = (await self.platform.read([self.key])).get(self.key)
        if row is not None:
            current = self.rejected_rows.decode(self.key, row.value, _decode)
            is_other = current is not None and current.holder != holder
            if is_other and current.expires > self.clock.now():
                return LeaseHeldByOther(current.holder)
        version = row.version if row else ABSENT
        renewed = LeaseRow(holder, self.clock.now() + self.seconds)
        value = msgspec.json.encode(renewed).decode()
        try:
            await self.platform.write(
                [RowCheck(self.key, version)], [RowWrite(self.key, value)]
            )
        except ConflictError:
            return LeaseHeldByOther("a concurrent process")
        return LeaseAcquired(version + 1)


def _decode(key: str, raw: str) -> LeaseRow:
    """Return the lease in a row, or raise DecodeError."""
    try:
        return decode_row(raw, LeaseRow)
    except DecodeError as error:
        raise DecodeError(f"{key}: {error}") from error
