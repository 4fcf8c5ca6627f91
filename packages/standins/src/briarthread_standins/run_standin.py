"""Serve stand-ins as processes."""

import signal
from typing import Any

import anyio

from briarthread_common.http.server import HttpServer, open_listener


async def _no_drain() -> None:
    return


def run_standin(app: Any, listen: str) -> None:
    """Serve a stand-in's application until SIGTERM or SIGINT."""
    anyio.run(HttpServer(app, [open_listener(listen)], 1).run, _no_drain)


async def serve_all(apps: dict[str, Any]) -> None:
    """Serve applications, keyed by their IP:PORT, until SIGTERM or SIGINT."""
    servers = [
        HttpServer(app, [open_listener(listen)], 1) for listen, app in apps.items()
    ]
    async with anyio.create_task_group() as tasks:
        for server in servers:
            tasks.start_soon(server.server.serve, server.listeners)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await anext(signals)
        for server in servers:
            server.server.should_exit = True
