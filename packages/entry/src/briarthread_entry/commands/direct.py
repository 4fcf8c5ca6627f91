"""``briarthread direct``."""

import random
from dataclasses import replace
from functools import partial
from pathlib import Path

import anyio
from loguru import logger

from briarthread_common.conf.reload import reload_on_signal
from briarthread_common.core.exit_code import ExitCode
from briarthread_common.core.logs import set_up_logs
from briarthread_common.direct.load_adapter import load_adapter
from briarthread_common.http.channel_options import ChannelOptions
from briarthread_common.http.clients.clients import Clients
from briarthread_common.http.http_channel import HttpChannel
from briarthread_common.http.port_app import PortApp
from briarthread_common.http.server import HttpServer, open_listener
from briarthread_common.utils.clock import Clock
from briarthread_entry.commands.base import Arguments, Command
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.entry_clients import EntryClients
from briarthread_entry.direct.settings import DirectSettings, load_direct_settings

TARGET_CHANNEL_OPTIONS = ChannelOptions(
    connect_timeout=0.5, keepalive_seconds=4.0, max_idle=12, user_timeout_seconds=1.2
)
"""
Options of the connections to targets.

A reachable target accepts a connection within milliseconds, even if a busy link loses
one packet. 4 s is shorter than any idle timeout that targets state.
"""
PEER_CHANNEL_OPTIONS = ChannelOptions(connect_timeout=0.4, user_timeout_seconds=1.0)
STORE_CHANNEL_OPTIONS = ChannelOptions(
    connect_timeout=0.8, user_timeout_seconds=1.0, max_idle=4
)
"""Peers and the store answer within milliseconds if they answer at all."""


class DirectCommand(Command):
    """Run an entry that sends to targets directly."""

    usage = """
Run an entry that routes callers' requests by host and path to targets without
agents, which a platform lists.

Usage:
  briarthread direct SETTINGS

SETTINGS is an INI file; docs/reference/settings.md lists its options. It
exits with 0 after a graceful stop by SIGTERM or SIGINT, and with 2 when the
settings have faults. SIGHUP reloads the settings.
"""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Serve until a signal stops the entry."""
        path = Path(str(arguments["SETTINGS"]))
        settings = load_direct_settings(path)
        set_up_logs(settings.log_level, settings.log_json)
        entry = self._build(settings)
        callers, ready, peers = (
            open_listener(address)
            for address in (
                settings.callers_listen,
                settings.ready_listen,
                settings.listen,
            )
        )
        clients = _build_clients(entry)
        port = callers.getsockname()[1]
        app = PortApp({port: entry.app}, entry.peer_app)
        server = HttpServer(
            app,
            [callers, ready, peers],
            settings.drain_timeout,
            clients={
                port: clients.callers,
                ready.getsockname()[1]: clients.probes,
                peers.getsockname()[1]: clients.peers,
            },
        )
        async with anyio.create_task_group() as tasks:
            entry.start(tasks)
            tasks.start_soon(
                reload_on_signal,
                path,
                load_direct_settings,
                entry.apply,
                entry.supervisor,
            )
            entry.supervisor.start(
                tasks, "limits", partial(_update_limits, entry, server, clients.callers)
            )
            logger.info(
                "entry: {} listens for callers on {}",
                settings.name,
                settings.callers_listen,
            )
            await server.run(entry.drain)
            tasks.cancel_scope.cancel()
        logger.info("entry: stopped")
        return ExitCode.DONE

    def _build(self, settings: DirectSettings) -> DirectEntry:
        targets = HttpChannel(TARGET_CHANNEL_OPTIONS)
        entry = DirectEntry(
            settings,
            load_adapter(settings.adapter),
            targets,
            HttpChannel(PEER_CHANNEL_OPTIONS),
            HttpChannel(STORE_CHANNEL_OPTIONS),
            Clock.from_system(),
            random.SystemRandom(),
        )
        targets.on_opened = entry.metrics.target_connections.inc
        targets.on_surplus = entry.metrics.surplus_bytes.inc
        return entry


def _build_clients(entry: DirectEntry) -> EntryClients:
    """Return the clients of an entry's addresses, and connect it to them."""
    settings = entry.settings
    clients = EntryClients.of_instance(
        settings.max_files, settings.memory_mb, entry.metrics.count_client_refusal
    )
    for found in (clients.callers, clients.probes, clients.peers):
        entry.metrics.observe_clients(found)
    callers = clients.callers
    entry.handler.is_crowded = callers.is_crowded
    entry.is_full = callers.rejects
    callers.on_rejected = entry.metrics.rejected_connections.inc
    entry.metrics.caller_connections.set_function(lambda: callers.count)
    return clients


async def _update_limits(
    entry: DirectEntry, server: HttpServer, callers: Clients
) -> None:
    """Apply the limits of each new configuration to the connections of clients."""
    number = 0
    while True:
        await entry.feeds.routes.wait_for_newer(number)
        number = entry.feeds.routes.number
        routes = entry.routes.current()
        if routes is not None:
            limits = routes.limits
            callers.bounds = replace(
                callers.bounds,
                header_bytes=limits.max_header_bytes,
                body_bytes=limits.max_body_bytes,
            )
            server.set_idle_timeout(limits.idle_timeout)
            server.set_head_timeout(limits.header_timeout)
