"""Interface for calls to other processes."""

from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ChannelRequest:
    """
    Describe a call; ``address`` is IP:PORT, header names are lower case.

    A ``host`` header overrides the one derived from the address. With a body of
    ``None`` no body is sent. ``new_connection`` sends the call over a connection
    that carried no call before, so that there is no doubt about its state.
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
    Hold the head of a response and an iterator over its body.

    ``headers`` has the last value of each name, ``fields`` all of them in
    order; names are lower case. Iterating over ``body`` raises BrokenCallError
    if the body is truncated. With ``ends_with_connection`` the body has neither a
    length nor chunks, so that a truncated one is recognised only if the connection is
    reset (RFC 9112, 6.3). ``call_number`` is the number of calls that the connection
    has carried, with this one.
    """

    status: int
    headers: Mapping[str, str]
    body: AsyncIterator[bytes]
    fields: tuple[tuple[str, str], ...] = ()
    ends_with_connection: bool = False
    call_number: int = 1


class Channel(Protocol):
    """Call other processes; tests replace it with a fake that injects faults."""

    def stream(
        self, request: ChannelRequest
    ) -> AbstractAsyncContextManager[ChannelResponse]:
        """
        Send a call and return a context manager for its response.

        Raise RequestNotSentError if nothing was written, BrokenCallError if
        something may have been. If ForeignResponseError is raised in the context of a
        response, later calls to the address go over new connections for a while.
        """
        ...
