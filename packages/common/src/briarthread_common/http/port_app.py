"""One application for several listeners."""

from collections.abc import Mapping
from typing import Any


class PortApp:
    """Give each call to the application of the port that it came in at."""

    def __init__(self, by_port: Mapping[int, Any], other: Any) -> None:
        self.by_port = by_port
        self.other = other

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one ASGI call."""
        server = scope.get("server")
        port = server[1] if server else None
        await self.by_port.get(port, self.other)(scope, receive, send)
