"""Running of a stand-in as a process."""

from typing import Any

import anyio

from briarthread_common.http.server import HttpServer, open_listener


async def _no_drain() -> None:
    return


def run_standin(app: Any, listen: str) -> None:
    """Serve a stand-in's application until a signal stops it."""
    anyio.run(HttpServer(app, open_listener(listen), 1).run, _no_drain)
