"""The settings of a direct target's agent and their defaults."""

from dataclasses import dataclass
from pathlib import Path

from briarthread_agent.settings import INSTANCE, TARGET
from briarthread_common.conf.read_settings import read_settings
from briarthread_common.conf.section_spec import SectionSpec
from briarthread_common.conf.shared_sections import LOGS, PEERS, STORE_OPTIONS
from briarthread_common.spread.replication_options import ReplicationOptions

DIRECT = SectionSpec("direct", "The platform that lists the targets.", STORE_OPTIONS)
DIRECT_AGENT_SECTIONS = (INSTANCE, TARGET, DIRECT, PEERS, LOGS)


@dataclass(frozen=True, slots=True)
class DirectAgentSettings:
    """Hold the settings; times are in seconds, addresses are IP:PORT."""

    name: str
    data_centre: str
    service: str
    listen: str
    drain_notice: float
    drain_timeout: float
    target: str
    adapter: str
    store: str
    spread: ReplicationOptions
    log_level: str
    log_json: bool
    memory_mb: float = 0.0
    max_files: float = 0.0


def load_direct_agent_settings(path: Path) -> DirectAgentSettings:
    """Load the settings from a file; raise ChecksFailed with all errors."""
    values = read_settings(path, DIRECT_AGENT_SECTIONS)
    instance = values["instance"]
    return DirectAgentSettings(
        **instance,
        target=values["target"]["address"],
        adapter=values["direct"]["adapter"],
        store=values["direct"]["address"],
        spread=ReplicationOptions(
            name=instance["name"],
            data_centre=instance["data_centre"],
            **values["peers"],
        ),
        log_level=values["logs"]["level"],
        log_json=values["logs"]["json"],
    )
