"""Settings of an entry that sends to targets directly, with their defaults."""

from dataclasses import dataclass
from pathlib import Path

from briarthread_common.conf.option import Option
from briarthread_common.conf.option_kind import OptionKind
from briarthread_common.conf.read_settings import read_settings
from briarthread_common.conf.section_spec import SectionSpec
from briarthread_common.conf.shared_sections import (
    LOGS,
    PEERS,
    RESOURCE_OPTIONS,
    STORE_OPTIONS,
    instance_section,
)
from briarthread_common.spread.replication_options import ReplicationOptions
from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance

CALLERS = SectionSpec(
    "callers",
    "Addresses for callers and for the platform's probes.",
    (
        Option("listen", OptionKind.ADDRESS, None, "Address for callers."),
        Option(
            "ready_listen", OptionKind.ADDRESS, None, "Address for readiness probes."
        ),
    ),
)
DIRECT = SectionSpec(
    "direct",
    "The platform that lists routes and targets.",
    (
        *STORE_OPTIONS,
        Option(
            "retry_ratio",
            OptionKind.NUMBER,
            "0.2",
            "Retries allowed for each request of a service.",
            minimum=0,
        ),
        Option(
            "retry_slack",
            OptionKind.NUMBER,
            "20",
            "Additional retries allowed, for all entries together.",
            minimum=0,
        ),
        Option(
            "retry_window",
            OptionKind.SECONDS,
            "10",
            "Time over which retries are counted, s.",
        ),
        *RESOURCE_OPTIONS,
    ),
)
DIRECT_SECTIONS = (instance_section(), CALLERS, DIRECT, PEERS, LOGS)


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Hold the settings; times are in seconds, addresses are IP:PORT."""

    name: str
    data_centre: str
    listen: str
    callers_listen: str
    ready_listen: str
    drain_notice: float
    drain_timeout: float
    adapter: str
    store: str
    allowance: RetryAllowance
    spread: ReplicationOptions
    log_level: str
    log_json: bool
    memory_mb: float = 0.0
    max_files: float = 0.0


def load_direct_settings(path: Path) -> DirectSettings:
    """Return the settings of a file, or raise ChecksFailed with all errors."""
    values = read_settings(path, DIRECT_SECTIONS)
    instance, direct = values["instance"], values["direct"]
    return DirectSettings(
        **instance,
        callers_listen=values["callers"]["listen"],
        ready_listen=values["callers"]["ready_listen"],
        adapter=direct["adapter"],
        store=direct["address"],
        allowance=RetryAllowance(
            direct["retry_ratio"], direct["retry_slack"], direct["retry_window"]
        ),
        spread=ReplicationOptions(
            name=instance["name"],
            data_centre=instance["data_centre"],
            **values["peers"],
        ),
        log_level=values["logs"]["level"],
        log_json=values["logs"]["json"],
        memory_mb=direct["memory_mb"],
        max_files=direct["max_files"],
    )
