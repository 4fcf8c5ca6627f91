"""Everything that the operator's configuration says, typed."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from briarthread_common.direct.caller_limits import CallerLimits
from briarthread_common.direct.direct_account import DirectAccount
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.host_route import HostRoute


@dataclass(frozen=True, slots=True)
class RouteMap:
    """
    Hold one version of the configuration.

    ``routes`` gives the routes of each host, the longest prefix first;
    ``accounts`` gives the account of each key. ``needs_key`` is off where the
    operator has no accounts at all.
    """

    version: int
    routes: Mapping[str, tuple[HostRoute, ...]]
    services: Mapping[str, DirectService]
    accounts: Mapping[str, DirectAccount] = field(default_factory=dict)
    needs_key: bool = False
    limits: CallerLimits = CallerLimits()

    def match(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
