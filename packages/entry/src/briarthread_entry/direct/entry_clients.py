"""The clients of each address of an entry that sends to targets directly."""

from collections.abc import Callable
from dataclasses import dataclass

from briarthread_common.http.clients.client_bounds import CALLERS_SHARE, ClientBounds
from briarthread_common.http.clients.clients import Clients


@dataclass(frozen=True, slots=True)
class EntryClients:
    """The clients of the addresses for callers, probes and peers."""

    callers: Clients
    probes: Clients
    peers: Clients

    @classmethod
    def of_instance(
        cls, max_files: float, on_refused: Callable[[str, str], None]
    ) -> "EntryClients":
        """Return the clients of an instance, each with its share."""
        bounds = ClientBounds.of_instance(CALLERS_SHARE, max_files)
        return cls(
            callers=Clients("callers", bounds, on_refused),
            probes=Clients("probes", on_refused=on_refused),
            peers=Clients("peers", on_refused=on_refused),
        )
