"""The reference pages match the option specifications in the code."""

from pathlib import Path

import pytest

from briarthread_measure.reference_pages import reference_pages

FOLDER = Path(__file__).parents[2] / "docs" / "reference"


@pytest.mark.parametrize("name", ["errors.md", "settings.md", "text.md"])
def test_reference_page_is_up_to_date(name: str) -> None:
    assert (FOLDER / name).read_text(encoding="utf-8") == reference_pages()[name]
