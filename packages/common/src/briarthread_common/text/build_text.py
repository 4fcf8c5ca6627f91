"""Construction of a typed services text from its sections."""

from collections.abc import Mapping
from dataclasses import replace

from briarthread_common.core.check_message import CheckMessage
from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.text.account import Account
from briarthread_common.text.check_text import check_text
from briarthread_common.text.data_centre import DataCentre
from briarthread_common.text.group import Group
from briarthread_common.text.objective import Objective
from briarthread_common.text.parse_section import parse_section
from briarthread_common.text.service import Service
from briarthread_common.text.services_text import ServicesText
from briarthread_common.text.split_text import PREAMBLE


def build_text(number: int, sections: Mapping[str, str]) -> ServicesText:
    """
    Return the typed text; raise ChecksFailed with all faults if it has any.

    ``sections`` maps headers to the sections' raw text.
    """
    text = ServicesText(number=number)
    faults: list[CheckMessage] = []
    objective = text.objective
    for header, raw in sections.items():
        if header == PREAMBLE or header.startswith("@"):
            continue
        parsed = parse_section(header, raw)
        faults.extend(parsed.faults)
        match parsed.value:
            case Service() as service:
                text.services[service.name] = service
            case Account() as account:
                text.accounts[account.name] = account
                text.accounts_by_key.update(dict.fromkeys(account.keys, account))
            case Group() as group:
                text.groups[group.name] = group
            case DataCentre() as data_centre:
                text.data_centres[data_centre.name] = data_centre
            case Objective() as parsed_objective:
                objective = parsed_objective
    faults.extend(check_text(text))
    if faults:
        raise ChecksFailed(faults)
    return replace(text, objective=objective)
