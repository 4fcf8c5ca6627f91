"""Settings of the agent and their defaults."""

from dataclasses import dataclass
from pathlib import Path

from briarthread_common.conf.option import Option
from briarthread_common.conf.option_kind import OptionKind
from briarthread_common.conf.read_settings import read_settings
from briarthread_common.conf.section_spec import SectionSpec
from briarthread_common.conf.shared_sections import (
    LOGS,
    PEERS,
    PLATFORM,
    RESOURCE_OPTIONS,
    instance_section,
)
from briarthread_common.spread.replication_options import ReplicationOptions

INSTANCE = instance_section(
    Option("service", OptionKind.TEXT, None, "Service of the agent's target."),
    *RESOURCE_OPTIONS,
)
TARGET = SectionSpec(
    "target",
    "The agent's target.",
    (Option("address", OptionKind.ADDRESS, None, "Address of the target."),),
)
AGENT_SECTIONS = (INSTANCE, TARGET, PLATFORM, PEERS, LOGS)


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Hold the settings of the agent; times are in seconds."""

    name: str
    data_centre: str
    service: str
    listen: str
    target: str
    platform_addresses: tuple[str, ...]
    platform_timeout: float
    spread: ReplicationOptions
    drain_notice: float
    drain_timeout: float
    log_level: str = "INFO"
    log_json: bool = False
    memory_mb: float = 0.0
    max_files: float = 0.0


def load_agent_settings(path: Path) -> AgentSettings:
    """Return the settings in a file or raise ChecksFailed with all faults."""
    values = read_settings(path, AGENT_SECTIONS)
    instance = values["instance"]
    return AgentSettings(
        name=instance["name"],
        data_centre=instance["data_centre"],
        service=instance["service"],
        listen=instance["listen"],
        target=values["target"]["address"],
        platform_addresses=values["platform"]["addresses"],
        platform_timeout=values["platform"]["timeout"],
        spread=ReplicationOptions(
            name=instance["name"],
            data_centre=instance["data_centre"],
            **values["peers"],
        ),
        drain_notice=instance["drain_notice"],
        drain_timeout=instance["drain_timeout"],
        log_level=values["logs"]["level"],
        log_json=values["logs"]["json"],
    )
