"""What the product needs from the platform that it runs on."""

from typing import Protocol

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.header_names import HeaderNames
from briarthread_common.direct.rank_client import RankClient
from briarthread_common.direct.route_map import RouteMap
from briarthread_common.http.channel import Channel
from briarthread_common.messages.instance import Instance
from briarthread_common.spread.feed_source import LongPollSource


class PlatformStore(LongPollSource, Protocol):
    """The platform's store, as a source of feeds and a list of our instances."""

    async def register_instance(self, instance: Instance) -> None:
        """Enter an instance of ours in the list; raise PlatformError."""
        ...

    async def acquire_role(self, role: str, holder: str) -> int | None:
        """
        Take a duty over from whoever has it; raise PlatformError.

        Return a number that is higher than at every earlier taking, or
        ``None`` when another one was faster.
        """
        ...


class PlatformAdapter(Protocol):
    """
    Translate between a platform and the product's own types.

    The two decoders raise DecodeError for a row that cannot be read.
    """

    headers: HeaderNames

    def open_store(self, channel: Channel, address: str) -> PlatformStore:
        """Return the store that answers at an address."""
        ...

    def open_rank(self, channel: Channel, address: str) -> RankClient:
        """Return the engine of the rank at an address."""
        ...

    def decode_routes(self, items: dict[str, str]) -> RouteMap | None:
        """Return the configuration of a feed, ``None`` if there is none."""
        ...

    def decode_target(self, name: str, row: str) -> DirectTarget:
        """Return one target of a feed."""
        ...
