"""Typed configuration of the operator."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from briarthread_common.direct.caller_limits import CallerLimits
from briarthread_common.direct.direct_account import DirectAccount
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.host_route import HostRoute


@dataclass(frozen=True, slots=True)
class RouteMap:
    """
    One version of the configuration.

    ``routes`` maps a host to its routes, the longest prefix first. ``accounts`` maps
    an API key to its account. ``needs_key`` is false if the operator has no accounts.
    """

    version: int
    routes: Mapping[str, tuple[HostRoute, ...]]
    services: Mapping[str, DirectService]
    accounts: Mapping[str, DirectAccount] = field(default_factory=dict)
    needs_key: bool = False
    limits: CallerLimits = CallerLimits()

    def match(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
