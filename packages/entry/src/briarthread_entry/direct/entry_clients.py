"""The clients of each address of an entry that sends to targets directly."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from briarthread_common.http.clients.client_bounds import (
    CALLERS_SHARE,
    PEERS_SHARE,
    PROBES_SHARE,
    ClientBounds,
    ListenerShare,
)
from briarthread_common.http.clients.clients import Clients


@dataclass(frozen=True, slots=True)
class EntryClients:
    """The clients of the addresses for callers, probes and peers."""

    callers: Clients
    probes: Clients
    peers: Clients

    @classmethod
    def of_instance(
        cls,
        max_files: float,
        memory_mb: float,
        on_refused: Callable[[str, str], None],
    ) -> "EntryClients":
        """Return the clients of an instance, each with its share."""

        def build(name: str, share: ListenerShare) -> Clients:
            bounds = ClientBounds.of_instance(share, max_files, memory_mb)
            return Clients(name, bounds, on_refused)

        clients = cls(
            callers=build("callers", CALLERS_SHARE),
            probes=build("probes", PROBES_SHARE),
            peers=build("peers", PEERS_SHARE),
        )
        callers = clients.callers
        callers.bounds = replace(callers.bounds, counts_bodies=False)
        return clients
