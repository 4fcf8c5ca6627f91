"""Checks of a services text that involve several sections."""

from collections.abc import Iterable, Iterator

from briarthread_common.core.check_message import CheckMessage
from briarthread_common.text.services_text import ServicesText


def check_text(text: ServicesText) -> list[CheckMessage]:
    """Return the faults that involve several options or sections."""
    return [
        *_check_services(text),
        *_check_accounts(text),
        *_check_groups(text),
        *_check_cycles(text),
        *_check_keys(text),
    ]


def check_change(old: ServicesText, new: ServicesText) -> list[CheckMessage]:
    """
    Return the faults of a change, each of which would lose stored keys.

    The account's home, the service's data centres and its number of shares
    determine where an idempotency key is stored. If a change moved the key in one
    step, its request could run twice, so such a change is rejected.
    """
    faults: list[CheckMessage] = []
    for name in old.services.keys() & new.services.keys():
        if old.services[name].shares != new.services[name].shares:
            faults.append(_keys_moved(f"[service {name}] shares"))
    for name in old.accounts.keys() & new.accounts.keys():
        faults.extend(_check_home_change(name, old, new))
    return faults


def _check_home_change(
    name: str, old: ServicesText, new: ServicesText
) -> Iterator[CheckMessage]:
    before, after = old.accounts[name], new.accounts[name]
    for service_name in old.services.keys() & new.services.keys():
        service = new.services[service_name]
        if service.idempotent:
            continue
        if old.key_home(before, old.services[service_name]) != new.key_home(
            after, service
        ):
            yield _keys_moved(f"[account {name}] home for {service_name}")


def _keys_moved(place: str) -> CheckMessage:
    return CheckMessage(
        "text.E015",
        place,
        "would change where idempotency keys are stored",
        "Remove the section, wait for the longest retry horizon, then add it again.",
    )


def _check_services(text: ServicesText) -> Iterator[CheckMessage]:
    for service in text.services.values():
        place = f"[service {service.name}]"
        yield from _unknown(
            f"{place} data_centres", service.data_centres, text.data_centres
        )
        yield from _unknown(f"{place} depends_on", service.depends_on, text.services)
        if not service.data_centres:
            yield CheckMessage("text.E010", place, "has no data centre")
        if service.deadline > service.max_deadline:
            yield CheckMessage(
                "text.E011", f"{place} deadline", "is above max_deadline"
            )


def _check_accounts(text: ServicesText) -> Iterator[CheckMessage]:
    for account in text.accounts.values():
        place = f"[account {account.name}]"
        yield from _unknown(f"{place} home", [account.home], text.data_centres)
        yield from _unknown(f"{place} services", account.services, text.services)


def _check_groups(text: ServicesText) -> Iterator[CheckMessage]:
    owners: dict[str, str] = {}
    for group in text.groups.values():
        place = f"[group {group.name}]"
        yield from _unknown(f"{place} service", [group.service], text.services)
        yield from _unknown(
            f"{place} data_centre", [group.data_centre], text.data_centres
        )
        if group.ranks * group.slots < group.experts:
            yield CheckMessage(
                "text.E016", f"{place} slots", "are too few for all experts"
            )
        for target in group.targets:
            if owners.setdefault(target, group.name) != group.name:
                yield CheckMessage(
                    "text.E017",
                    f"{place} targets",
                    f"lists {target}, which group {owners[target]} lists as well",
                )


def _check_keys(text: ServicesText) -> Iterator[CheckMessage]:
    owners: dict[str, str] = {}
    for account in text.accounts.values():
        for key in account.keys:
            other = owners.setdefault(key, account.name)
            if other != account.name:
                yield CheckMessage(
                    "text.E012",
                    f"[account {account.name}] keys",
                    f"shares a key with account {other}",
                    "Give each account keys of its own.",
                )


def _check_cycles(text: ServicesText) -> Iterator[CheckMessage]:
    for name in text.services:
        path = _find_cycle(text, name)
        if path and name == min(path):
            yield CheckMessage(
                "text.E013",
                f"[service {name}] depends_on",
                f"has a cycle: {' -> '.join([*path, name])}",
            )


def _find_cycle(text: ServicesText, start: str) -> list[str]:
    paths = [[start]]
    seen: set[str] = set()
    while paths:
        path = paths.pop()
        for name in text.services[path[-1]].depends_on:
            if name == start:
                return path
            if name in text.services and name not in seen:
                seen.add(name)
                paths.append([*path, name])
    return []


def _unknown(
    place: str, names: Iterable[str], known: Iterable[str]
) -> Iterator[CheckMessage]:
    for name in names:
        if name not in known:
            known_names = ", ".join(sorted(known)) or "none"
            yield CheckMessage(
                "text.E014", place, f"names unknown {name!r}", f"Known: {known_names}."
            )
