"""Every field of ``HeaderNames`` is used by the entry."""

import re
from dataclasses import fields
from pathlib import Path

import pytest

from briarthread_common.direct.header_names import HeaderNames

ENTRY = Path(__file__).parents[2] / "packages" / "entry" / "src"
SOURCES = [path.read_text(encoding="utf-8") for path in ENTRY.rglob("*.py")]


# Guards against a header that is declared but never read or sent.
@pytest.mark.parametrize("name", [field.name for field in fields(HeaderNames)])
def test_header_name_is_used_by_the_entry(name: str) -> None:
    pattern = re.compile(rf"\bnames\.{name}\b")
    assert any(pattern.search(source) for source in SOURCES)
