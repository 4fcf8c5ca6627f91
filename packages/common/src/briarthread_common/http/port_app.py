"""ASGI application that dispatches by port."""

from collections.abc import Mapping
from typing import Any


class PortApp:
    """Dispatch each call to the application of the port that received it."""

    def __init__(self, apps_by_port: Mapping[int, Any], default_app: Any) -> None:
        self.apps_by_port = apps_by_port
        self.default_app = default_app

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one ASGI call."""
        server = scope.get("server")
        port = server[1] if server else None
        await self.apps_by_port.get(port, self.default_app)(scope, receive, send)
