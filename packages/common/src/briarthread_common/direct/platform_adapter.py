"""Interfaces that a platform adapter implements."""

from typing import Protocol

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.header_names import HeaderNames
from briarthread_common.direct.rank_client import RankClient
from briarthread_common.direct.route_map import RouteMap
from briarthread_common.direct.stored_record import StoredRecord
from briarthread_common.http.channel import Channel
from briarthread_common.messages.instance import Instance
from briarthread_common.spread.feed_source import LongPollSource


class PlatformStore(LongPollSource, Protocol):
    """Store of the platform: a source of feeds, instances, roles and records."""

    async def register_instance(self, instance: Instance) -> None:
        """Add one of our instances to the list; may raise PlatformError."""
        ...

    async def acquire_role(self, role: str, holder: str) -> int | None:
        """
        Take a role over from its present holder; may raise PlatformError.

        Return a fencing token, a number higher than that of every earlier holder, or
        ``None`` if another process acquired the role concurrently.
        """
        ...

    async def read_record(self, name: str) -> StoredRecord:
        """Return a record of briarthread; may raise PlatformError."""
        ...

    async def write_record(self, name: str, text: str, version: int) -> bool:
        """
        Replace a version of a record; may raise PlatformError.

        Return whether it was replaced; it is not if it has another version.
        """
        ...


class PlatformAdapter(Protocol):
    """
    Translate between a platform and the types of briarthread.

    The two decoders raise DecodeError for an invalid row.
    """

    headers: HeaderNames

    def open_store(self, channel: Channel, address: str) -> PlatformStore:
        """Return a client for the store at an address."""
        ...

    def open_rank(self, channel: Channel, address: str) -> RankClient:
        """Return a client for the engine of the rank at an address."""
        ...

    def decode_routes(self, items: dict[str, str]) -> RouteMap | None:
        """Return the configuration of a feed, ``None`` if it has none."""
        ...

    def decode_evacuated(self, items: dict[str, str]) -> frozenset[str]:
        """Return the data centres that the operator has evacuated."""
        ...

    def decode_target(self, name: str, row: str) -> DirectTarget:
        """Return one target of a feed."""
        ...
