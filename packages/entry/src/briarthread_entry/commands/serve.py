"""``briarthread serve``."""

import random
from pathlib import Path

import anyio
from loguru import logger

from briarthread_common.core.exit_code import ExitCode
from briarthread_common.core.logs import set_up_logs
from briarthread_common.http.clients.clients import Clients
from briarthread_common.http.server import HttpServer, open_listener
from briarthread_common.utils.clock import Clock
from briarthread_entry.commands.base import Arguments, Command
from briarthread_entry.entry import Entry
from briarthread_entry.settings import load_entry_settings


class ServeCommand(Command):
    """Run an entry that sends to agents."""

    usage = """
Run an entry: accept callers' requests and route them to targets.

Usage:
  briarthread serve SETTINGS

SETTINGS is an INI file; docs/reference/settings.md lists its options. It
exits with 0 after a graceful stop by SIGTERM or SIGINT, and with 2 when the
settings have faults.
"""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Serve until a signal stops the entry."""
        settings = load_entry_settings(Path(str(arguments["SETTINGS"])))
        set_up_logs(settings.log_level, settings.log_json)
        entry = Entry(
            settings, self.channel, Clock.from_system(), random.SystemRandom()
        )
        listener = open_listener(settings.listen)
        clients = Clients.of_only_address(
            "callers",
            settings.max_files,
            settings.memory_mb,
            entry.metrics.count_client_refusal,
        )
        entry.metrics.observe_clients(clients)
        server = HttpServer(
            entry.app,
            [listener],
            settings.drain_timeout,
            clients={listener.getsockname()[1]: clients},
        )
        async with anyio.create_task_group() as tasks:
            entry.start(tasks)
            logger.info("entry: {} listens on {}", settings.name, settings.listen)
            await server.run(entry.drain)
            tasks.cancel_scope.cancel()
        logger.info("entry: stopped")
        return ExitCode.DONE
