"""Tests for the checks of a services text, which report all faults together."""

from pathlib import Path

import pytest
from builders import build_text

from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.text.build_text import build_text as build
from briarthread_common.text.services_text import ServicesText
from briarthread_common.text.split_text import join_text, split_text

EXAMPLES = Path(__file__).parents[2] / "examples"


def load(text: str) -> ServicesText:
    return build(1, split_text(text))


def fault_ids(text: str) -> set[str]:
    with pytest.raises(ChecksFailed) as raised:
        load(text)
    return {message.id for message in raised.value.messages}


@pytest.mark.parametrize("name", ["caruso.ini", "paristokierto.ini"])
def test_examples_are_valid(name: str) -> None:
    text = load((EXAMPLES / name).read_text(encoding="utf-8"))
    assert len(text.accounts) == 10
    assert len(text.data_centres) == 3


def test_text_survives_splitting_and_joining() -> None:
    text = build_text()
    assert split_text(join_text(split_text(text))) == split_text(text)


@pytest.mark.parametrize(
    ("more", "fault"),
    [
        ("[service x]\ndata_centres = nowhere\n", "text.E014"),
        ("[service x]\ndata_centres = palermo\ndepends_on = y\n", "text.E014"),
        ("[service x]\ndata_centres = palermo\ndepends_on = x\n", "text.E013"),
        ("[service x]\ndata_centres = palermo\ndeadline = soon\n", "conf.E002"),
        ("[service x]\ndata_centres = palermo\ncolour = red\n", "conf.E003"),
        ("[service x]\ndata_centres = palermo\ndeadline = 99\n", "text.E011"),
        ("[account x]\nhome = palermo\n", "conf.E001"),
        ("[salon x]\n", "text.E002"),
        ("[service diary]\n", "text.E001"),
        ("[service ../x]\ndata_centres = palermo\n", "text.E004"),
    ],
)
def test_fault_is_reported_with_its_id(more: str, fault: str) -> None:
    assert fault in fault_ids(build_text(more=more))


def test_all_faults_are_reported_together() -> None:
    more = (
        "[service x]\ndata_centres = nowhere\ndeadline = soon\n"
        "[service y]\ndata_centres = nowhere\n[salon z]\n"
    )
    assert {"conf.E002", "text.E014", "text.E002"} <= fault_ids(build_text(more=more))
