"""Settings sections that the entry and the agent share."""

from briarthread_common.conf.option import Option
from briarthread_common.conf.option_kind import OptionKind
from briarthread_common.conf.section_spec import SectionSpec

PEERS = SectionSpec(
    "peers",
    "How this process exchanges text, instances and shares with others.",
    (
        Option(
            "seeds",
            OptionKind.ADDRESSES,
            "",
            "Entries or agents to contact at start while the platform is down.",
        ),
        Option(
            "exchange_interval",
            OptionKind.SECONDS,
            "4",
            "Mean time between exchanges with a random peer, in seconds.",
        ),
        Option(
            "poll_interval",
            OptionKind.SECONDS,
            "2",
            "Time between polls of the platform by a selected poller, s.",
        ),
    ),
)

PLATFORM = SectionSpec(
    "platform",
    "Addresses of the platform's table and instance list.",
    (
        Option(
            "addresses",
            OptionKind.ADDRESSES,
            None,
            "Addresses of the platform's service, tried in this order.",
        ),
        Option("timeout", OptionKind.SECONDS, "2", "Longest wait for an answer, s."),
    ),
)

STORE_OPTIONS = (
    Option("adapter", OptionKind.TEXT, None, "Adapter module for the platform."),
    Option("address", OptionKind.ADDRESS, None, "Address of its store."),
)
"""Options of a platform that lists direct targets."""

RESOURCE_OPTIONS = (
    Option(
        "memory_mb",
        OptionKind.OPTIONAL_NUMBER,
        "",
        "Memory of the instance, MB; shares of it bound what clients make the process "
        "hold. Empty or 0: no bound.",
        minimum=0,
    ),
    Option(
        "max_files",
        OptionKind.OPTIONAL_NUMBER,
        "",
        "Files and sockets that the process may open; shares of it bound the "
        "connections of clients. Empty or 0: no bound.",
        minimum=0,
    ),
)
"""Options that say what an instance has."""

LOGS = SectionSpec(
    "logs",
    "What is logged, to standard output.",
    (
        Option(
            "level",
            OptionKind.TEXT,
            "INFO",
            "Lowest level that is written.",
            choices=("DEBUG", "INFO", "WARNING", "ERROR"),
        ),
        Option("json", OptionKind.FLAG, "no", "Whether each line is JSON."),
    ),
)


def instance_section(*more: Option) -> SectionSpec:
    """Return the instance section with further options."""
    return SectionSpec(
        "instance",
        "Which instance this is and where it listens.",
        (
            Option("name", OptionKind.TEXT, None, "Name in the platform's list."),
            Option("data_centre", OptionKind.TEXT, None, "Its data centre."),
            Option("listen", OptionKind.ADDRESS, None, "Address to listen on."),
            Option(
                "drain_notice",
                OptionKind.SECONDS,
                "3",
                "Time for which a stopping process answers and announces its stop, s.",
            ),
            Option(
                "drain_timeout",
                OptionKind.SECONDS,
                "60",
                "Longest wait for requests in flight at a stop, s.",
            ),
            *more,
        ),
    )
