"""Splitting of a services text into sections."""

import re

from briarthread_common.core.check_message import CheckMessage
from briarthread_common.core.exceptions import ChecksFailed

HEADER = re.compile(r"^\[(?P<name>[^\]]*)\]\s*$")
PREAMBLE = ""


def split_text(text: str) -> dict[str, str]:
    r"""
    Return the raw sections of a text by header.

    Sections are sent and stored separately, so that the cost of a change is
    proportional to its size. Lines before the first header are kept under
    the empty name. Raise ChecksFailed if a header occurs twice.

    >>> split_text("# ours\n[service a]\nkind = plain\n")
    {'': '# ours\n', 'service a': '[service a]\nkind = plain\n'}
    """
    sections: dict[str, list[str]] = {}
    faults: list[CheckMessage] = []
    name = PREAMBLE
    for number, line in enumerate(text.splitlines(), start=1):
        header = HEADER.match(line)
        if header:
            name = " ".join(header["name"].split())
            if name in sections:
                faults.append(
                    CheckMessage(
                        "text.E001", f"line {number}", f"[{name}] occurs twice"
                    )
                )
        sections.setdefault(name, []).append(line)
    if faults:
        raise ChecksFailed(faults)
    return {name: "\n".join(lines) + "\n" for name, lines in sections.items()}


def join_text(sections: dict[str, str]) -> str:
    """Return the complete text, with sections sorted by kind and name."""
    return "".join(sections[name] for name in sorted(sections))


def changed_sections(old: dict[str, str], new: dict[str, str]) -> dict[str, str | None]:
    """
    Return the sections that differ; removed ones are ``None``.

    >>> changed_sections({"a": "1", "b": "2"}, {"a": "1", "c": "3"})
    {'c': '3', 'b': None}
    """
    changes: dict[str, str | None] = {
        name: text for name, text in new.items() if old.get(name) != text
    }
    changes.update({name: None for name in old if name not in new})
    return changes
