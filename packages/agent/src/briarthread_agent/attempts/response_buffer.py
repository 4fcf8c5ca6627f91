"""The response of one run, which several readers may read at once."""

from collections.abc import AsyncIterator

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError

Headers = tuple[tuple[str, str], ...]


class ResponseBuffer:
    """
    Buffer a response while any number of readers read it.

    A reader that starts late gets the same bytes from the first one on; this is
    how a repeated request with the same key is answered.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.status = 0
        self.headers: Headers = ()
        self.chunks: list[bytes] = []
        self.size = 0
        self.finished = False
        self.error: RequestError | None = None
        self.changed = anyio.Event()

    def start(self, status: int, headers: Headers) -> None:
        """Set the status and headers of the response."""
        self.status = status
        self.headers = headers
        self._notify_readers()

    def add(self, chunk: bytes) -> None:
        """Append bytes; raise RequestError if the service's size limit is exceeded."""
        self.size += len(chunk)
        if self.size > self.limit:
            raise RequestError(
                ErrorKind.TARGET_FAILED, f"response exceeds {self.limit} bytes"
            )
        self.chunks.append(chunk)
        self._notify_readers()

    def finish(self) -> None:
        """Mark the response as complete."""
        self.finished = True
        self._notify_readers()

    def fail(self, error: RequestError) -> None:
        """Record that the response will never be complete."""
        self.error = error
        self._notify_readers()

    @property
    def ended(self) -> bool:
        """Return whether the response is complete or has failed."""
        return self.finished or self.error is not None

    async def wait_for_head(self) -> None:
        """Wait for status and headers; raise RequestError if there are none."""
        while self.status == 0:
            if self.error is not None:
                raise self.error
            await self.changed.wait()

    async def wait_for_end(self) -> None:
        """Wait until the response is complete; raise RequestError if it fails."""
        while not self.ended:
            await self.changed.wait()
        if self.error is not None:
            raise self.error

    async def read(self) -> AsyncIterator[bytes]:
        """Yield all bytes as they arrive; raise RequestError if the run fails."""
        position = 0
        while True:
            while position < len(self.chunks):
                yield self.chunks[position]
                position += 1
            if self.error is not None:
                raise self.error
            if self.finished:
                return
            await self.changed.wait()

    def _notify_readers(self) -> None:
        event, self.changed = self.changed, anyio.Event()
        event.set()
