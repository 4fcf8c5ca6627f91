"""A lease on a duty, kept as one row of the platform's table."""

from dataclasses import dataclass

import msgspec

from briarthread_common.core.exceptions import ConflictError
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.platform.table_messages import ABSENT, RowCheck, RowWrite
from briarthread_common.utils.clock import Clock


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Name the holder of a duty and the Unix time until which it holds it."""

    holder: str
    expires: float


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease is held under this fencing number, which only grows."""

    fence: int


@dataclass(frozen=True, slots=True)
class LeaseHeldByOther:
    """Another one holds the lease."""

    holder: str


class Lease:
    """
    Take a duty by compare-and-set; the row's version is the fencing number.

    A holder that was paused does not know that its lease has lapsed. So the
    lease alone protects nothing: whoever obeys the holder checks the number.
    """

    def __init__(
        self, platform: PlatformClient, clock: Clock, role: str, seconds: float
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.key = f"leases/{role}"
        self.seconds = seconds

    async def acquire(self, holder: str) -> LeaseAcquired | LeaseHeldByOther:
        """
        Take or prolong the lease.

        Raise PlatformError when the platform does not answer; the lease may
        then be held all the same, under a number that nobody uses.
        """
        row = (await self.platform.read([self.key])).get(self.key)
        if row is not None:
            present = msgspec.json.decode(row.value, type=LeaseRow)
            if present.holder != holder and present.expires > self.clock.now():
                return LeaseHeldByOther(present.holder)
        version = row.version if row else ABSENT
        wanted = LeaseRow(holder, self.clock.now() + self.seconds)
        value = msgspec.json.encode(wanted).decode()
        try:
            await self.platform.write(
                [RowCheck(self.key, version)], [RowWrite(self.key, value)]
            )
        except ConflictError:
            return LeaseHeldByOther("another that was faster")
        return LeaseAcquired(version + 1)
