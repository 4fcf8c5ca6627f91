"""The agent of a target as a process."""

import random

import anyio
from loguru import logger

from briarthread_agent.agent import Agent
from briarthread_agent.settings import AgentSettings
from briarthread_common.http.clients.clients import Clients
from briarthread_common.http.http_channel import HttpChannel
from briarthread_common.http.server import HttpServer, open_listener
from briarthread_common.utils.clock import Clock


async def serve(settings: AgentSettings) -> None:
    """Run the agent until the process receives a stop signal."""
    channel = HttpChannel()
    listener = open_listener(settings.listen)
    async with anyio.create_task_group() as tasks:
        agent = Agent(
            settings, channel, Clock.from_system(), tasks, random.SystemRandom()
        )
        agent.start()
        clients = Clients.of_only_address(
            "peers",
            settings.max_files,
            settings.memory_mb,
            agent.metrics.count_client_refusal,
        )
        agent.metrics.observe_clients(clients)
        server = HttpServer(
            agent.app,
            [listener],
            settings.drain_timeout,
            clients={listener.getsockname()[1]: clients},
        )
        logger.info("agent: {} listens on {}", settings.name, settings.listen)
        await server.run(agent.drain)
        tasks.cancel_scope.cancel()
    logger.info("agent: stopped")
