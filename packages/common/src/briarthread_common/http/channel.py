"""The interface through which a process calls another."""

from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ChannelRequest:
    """Describe a call: ``address`` is IP:PORT, header names lower case."""

    method: str
    address: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ChannelResponse:
    """
    Hold the head of an answer and its body to come.

    Iterating ``body`` raises BrokenCallError when it ends short.
    """

    status: int
    headers: Mapping[str, str]
    body: AsyncIterator[bytes]


class Channel(Protocol):
    """Call other processes; tests put a fake with faults in its place."""

    def stream(
        self, request: ChannelRequest
    ) -> AbstractAsyncContextManager[ChannelResponse]:
        """
        Send a call and give its answer while the context lasts.

        Raise NotWrittenError when nothing was written, BrokenCallError when
        something may have been.
        """
        ...
