"""The interface through which a process calls another."""

from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ChannelRequest:
    """
    Describe a call: ``address`` is IP:PORT, header names lower case.

    A ``host`` among the headers replaces the address there. A body of
    ``None`` sends none at all. ``new_connection`` asks for a connection that carried
    no call before, whose state therefore cannot be doubted.
    """

    method: str
    address: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = b""
    new_connection: bool = False


@dataclass(frozen=True, slots=True)
class ChannelResponse:
    """
    Hold the head of an answer and its body to come.

    ``headers`` has the last value of each name, ``fields`` all of them in
    order; names are lower case. Iterating ``body`` raises BrokenCallError when
    it ends short.
    """

    status: int
    headers: Mapping[str, str]
    body: AsyncIterator[bytes]
    fields: tuple[tuple[str, str], ...] = ()


class Channel(Protocol):
    """Call other processes; tests put a fake with faults in its place."""

    def stream(
        self, request: ChannelRequest
    ) -> AbstractAsyncContextManager[ChannelResponse]:
        """
        Send a call and give its answer while the context lasts.

        Raise RequestNotSentError when nothing was written, BrokenCallError when
        something may have been.
        """
        ...
