"""Probes that check whether the process of another holder is dead."""

from enum import StrEnum

from briarthread_common.core.exceptions import ChannelError, ConnectionRefused
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json
from briarthread_common.messages.hello import HELLO_PATH, HELLO_TIMEOUT_SECONDS, Hello


class ProbeResult(StrEnum):
    """
    Result of a probe.

    ``REFUSED`` and ``REPLACED`` prove that the process is dead, because a slot's
    address is exclusive. ``SILENT`` proves nothing.
    """

    ALIVE = "alive"
    REPLACED = "replaced"
    REFUSED = "refused"
    SILENT = "silent"


async def fetch_hello(channel: Channel, address: str) -> Hello:
    """Return the identity of the process at an address or raise ChannelError."""
    return await call_json(
        channel, address, "GET", HELLO_PATH, None, Hello, HELLO_TIMEOUT_SECONDS
    )


async def probe_holder(channel: Channel, address: str, incarnation: str) -> ProbeResult:
    """Check whether an incarnation still runs at an address."""
    try:
        hello = await fetch_hello(channel, address)
    except ConnectionRefused:
        return ProbeResult.REFUSED
    except ChannelError:
        return ProbeResult.SILENT
    if hello.incarnation == incarnation:
        return ProbeResult.ALIVE
    return ProbeResult.REPLACED
