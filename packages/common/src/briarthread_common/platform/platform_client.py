"""Client of the platform's table and instance list."""

from collections.abc import Sequence
from typing import TypeVar

from briarthread_common.core.exceptions import (
    ChannelError,
    ConflictError,
    PlatformError,
    RequestNotSentError,
)
from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json
from briarthread_common.platform.table_messages import (
    ReadAnswer,
    Row,
    RowCheck,
    RowWrite,
    Transaction,
    TransactionAnswer,
)

T = TypeVar("T")


class PlatformClient:
    """
    Read and write the platform's table and read its instance list.

    ``timeout`` is in seconds. Each call raises PlatformError if no address
    answers in time; a write may have taken effect nevertheless.
    """

    def __init__(
        self, channel: Channel, addresses: Sequence[str], timeout: float
    ) -> None:
        self.channel = channel
        self.addresses = tuple(addresses)
        self.timeout = timeout

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the existing rows of the given keys, by key."""
        answer = await self._call("/v1/table/read", list(keys), ReadAnswer)
        return {row.key: row for row in answer.rows}

    async def write(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Commit a transaction; raise ConflictError if a check fails."""
        transaction = Transaction(list(checks), list(writes))
        answer = await self._call(
            "/v1/table/transactions", transaction, TransactionAnswer
        )
        if not answer.committed:
            raise ConflictError(", ".join(answer.conflicts))

    async def instances_since(self, number: int) -> FeedPatch | None:
        """Return the patch of the instance list since a version of it."""
        return await self._call("/v1/instances/since", number, FeedPatch | None)

    async def _call(self, path: str, message: object, answer_type: type[T]) -> T:
        last_error: ChannelError | None = None
        for address in self.addresses:
            try:
                return await call_json(
                    self.channel,
                    address,
                    "POST",
                    path,
                    message,
                    answer_type,
                    self.timeout,
                )
            except RequestNotSentError as error:
                last_error = error
            except ChannelError as error:
                raise PlatformError(f"platform: {error}") from error
        raise PlatformError(f"platform: {last_error}")
