"""Settings of an entry that sends to agents, with their defaults."""

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

INSTANCE = instance_section(*RESOURCE_OPTIONS)
LIMITS = SectionSpec(
    "limits",
    "Limits on the requests that the entry accepts.",
    (
        Option(
            "max_in_flight",
            OptionKind.INTEGER,
            "1000",
            "Requests that the entry serves at one time.",
            minimum=1,
        ),
    ),
)
ENTRY_SECTIONS = (INSTANCE, LIMITS, PLATFORM, PEERS, LOGS)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Hold the settings of an entry; times are in seconds."""

    name: str
    data_centre: str
    listen: str
    platform_addresses: tuple[str, ...]
    platform_timeout: float
    spread: ReplicationOptions
    drain_notice: float
    drain_timeout: float
    max_in_flight: int = 1000
    log_level: str = "INFO"
    log_json: bool = False
    memory_mb: float = 0.0
    max_files: float = 0.0


def load_entry_settings(path: Path) -> EntrySettings:
    """Return the settings in a file, or raise ChecksFailed with all faults."""
    values = read_settings(path, ENTRY_SECTIONS)
    instance = values["instance"]
    return EntrySettings(
        **instance,
        platform_addresses=values["platform"]["addresses"],
        platform_timeout=values["platform"]["timeout"],
        spread=ReplicationOptions(
            name=instance["name"],
            data_centre=instance["data_centre"],
            **values["peers"],
        ),
        max_in_flight=values["limits"]["max_in_flight"],
        log_level=values["logs"]["level"],
        log_json=values["logs"]["json"],
    )
