"""Builders of state at the largest size that the system has to support."""

import msgspec

from briarthread_common.feeds.feed_patch import SNAPSHOT_BASE, FeedPatch
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.shares.share_row import ShareRow, share_name
from briarthread_common.utils.hashing import key_digest

ENTRIES = 490
AGENTS = 1300
SERVICES = 31
ACCOUNTS = 4200
DATA_CENTRES = 8
REGIONS = 4
SHARES = 12
GROUP_RANKS = 32
RANKS_PER_TARGET = 8
EXPERTS = 256
LAYERS = 58


def data_centre_name(number: int) -> str:
    """Return the name of a data centre."""
    return f"dc-{number % DATA_CENTRES}"


def service_name(number: int) -> str:
    """Return the name of a service."""
    return f"model-{number}"


def text_sections(accounts: int, services: int = SERVICES) -> dict[str, str]:
    """Return the sections of a services text with the given numbers of items."""
    data_centres = ", ".join(data_centre_name(n) for n in range(DATA_CENTRES))
    sections = {
        f"data_centre {data_centre_name(n)}": (
            f"[data_centre {data_centre_name(n)}]\nregion = region-{n % REGIONS}\n"
        )
        for n in range(DATA_CENTRES)
    }
    for n in range(services):
        header = f"service {service_name(n)}"
        sections[header] = f"[{header}]\nkind = engine\ndata_centres = {data_centres}\n"
    for n in range(accounts):
        sections[f"account client-{n}"] = account_section(n, 100)
    return sections


def account_section(number: int, rate: int) -> str:
    """Return the section of an account."""
    return (
        f"[account client-{number}]\nkeys = {key_digest(f'client-{number}')}\n"
        f"home = {data_centre_name(number)}\nrate = {rate}\nweight = 1\n"
    )


def instance_items(entries: int, agents: int, addresses: list[str]) -> dict[str, str]:
    """Return the items of the instance list, which share the given addresses."""
    items = {}
    for n in range(entries):
        name = f"entry-{n}"
        row = Instance(
            name, data_centre_name(n), addresses[n % len(addresses)], InstanceRole.ENTRY
        )
        items[name] = msgspec.json.encode(row).decode()
    for n in range(agents):
        name = f"worker-{n}"
        row = Instance(
            name,
            data_centre_name(n),
            addresses[n % len(addresses)],
            InstanceRole.TARGET,
            service_name(n // DATA_CENTRES % SERVICES),
        )
        items[name] = msgspec.json.encode(row).decode()
    return items


def share_items(services: int, shares: int = SHARES) -> dict[str, str]:
    """Return the share rows of all services and data centres."""
    items = {}
    for service in range(services):
        for data_centre in range(DATA_CENTRES):
            for share in range(shares):
                row = ShareRow(
                    service_name(service),
                    data_centre_name(data_centre),
                    share,
                    f"worker-{service}",
                    "127.0.0.1:9999",
                    "0123456789abcdef",
                    1,
                )
                name = share_name(row.service, row.data_centre, share)
                items[name] = msgspec.json.encode(row).decode()
    return items


def snapshot_patch(feed: str, items: dict[str, str], number: int = 1) -> FeedPatch:
    """Return a patch that replaces all items of a feed."""
    return FeedPatch(feed, SNAPSHOT_BASE, number, dict(items))
