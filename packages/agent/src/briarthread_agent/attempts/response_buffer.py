"""The answer of one run, which several readers may follow."""

from collections.abc import AsyncIterator

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError

Headers = tuple[tuple[str, str], ...]


class ResponseBuffer:
    """
    Collect an answer while any number of readers follow it.

    A reader that comes late gets the same bytes from the first one on; that
    is how a key asked again is answered.
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
        """Set the head of the answer."""
        self.status = status
        self.headers = headers
        self._wake()

    def add(self, chunk: bytes) -> None:
        """Add bytes; raise RequestError past the limit of the service."""
        self.size += len(chunk)
        if self.size > self.limit:
            raise RequestError(
                ErrorKind.TARGET_FAILED, f"answer is over {self.limit} bytes"
            )
        self.chunks.append(chunk)
        self._wake()

    def finish(self) -> None:
        """Mark the answer as whole."""
        self.finished = True
        self._wake()

    def fail(self, error: RequestError) -> None:
        """Mark the answer as never to become whole."""
        self.error = error
        self._wake()

    @property
    def ended(self) -> bool:
        """Tell whether nothing more will come."""
        return self.finished or self.error is not None

    async def wait_for_head(self) -> None:
        """Return once there is a head; raise RequestError if none comes."""
        while self.status == 0:
            if self.error is not None:
                raise self.error
            await self.changed.wait()

    async def wait_for_end(self) -> None:
        """Return once the answer is whole; raise RequestError otherwise."""
        while not self.ended:
            await self.changed.wait()
        if self.error is not None:
            raise self.error

    async def read(self) -> AsyncIterator[bytes]:
        """Yield all bytes as they come; raise RequestError when they stop."""
        place = 0
        while True:
            while place < len(self.chunks):
                yield self.chunks[place]
                place += 1
            if self.error is not None:
                raise self.error
            if self.finished:
                return
            await self.changed.wait()

    def _wake(self) -> None:
        event, self.changed = self.changed, anyio.Event()
        event.set()
