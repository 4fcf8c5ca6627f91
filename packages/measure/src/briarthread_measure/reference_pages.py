"""
Write the reference pages of the settings and of the services text.

Usage:
  reference_pages FOLDER
"""

from collections.abc import Sequence
from pathlib import Path

from docopt import docopt

from briarthread_agent.ranks.settings import DIRECT_AGENT_SECTIONS
from briarthread_agent.settings import AGENT_SECTIONS
from briarthread_common.conf.section_spec import SectionSpec
from briarthread_common.core.error_response import ERROR_RESPONSES
from briarthread_common.text.section_specs import TEXT_SPECS
from briarthread_entry.direct.settings import DIRECT_SECTIONS
from briarthread_entry.settings import ENTRY_SECTIONS

NOTE = (
    "This page is written by `python -m briarthread_measure.reference_pages "
    "docs/reference`.\n"
)
CLOCKS = (
    "Clocks of all instances have to agree within 2 s: deadlines travel as Unix time.\n"
)


def section_table(spec: SectionSpec) -> str:
    """Return a section's heading, help and table of options."""
    lines = [
        f"### [{spec.name}]\n",
        f"{spec.help}\n",
        "| option | expects | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for option in spec.options:
        expects = ", ".join(option.choices) or str(option.kind)
        if option.minimum is not None:
            expects += f", at least {option.minimum:g}"
        default = "required" if option.default is None else option.default or "empty"
        lines.append(f"| `{option.key}` | {expects} | {default} | {option.help} |")
    return "\n".join(lines) + "\n"


def page(title: str, parts: dict[str, Sequence[SectionSpec]], intro: str) -> str:
    """Return a whole page."""
    blocks = [f"# {title}\n", NOTE, intro]
    for heading, specs in parts.items():
        blocks.append(f"## {heading}\n")
        blocks.extend(section_table(spec) for spec in specs)
    return "\n".join(blocks)


def error_page() -> str:
    """Return the page of the error kinds."""
    lines = [
        "# Errors\n",
        NOTE,
        "| kind | status | outcome | Retry-After | title |",
        "| --- | --- | --- | --- | --- |",
    ]
    for kind, row in ERROR_RESPONSES.items():
        pause = "none" if row.retry_after is None else f"{row.retry_after:g} s or more"
        lines.append(
            f"| `{kind}` | {row.status} | {row.outcome} | {pause} | {row.title} |"
        )
    lines.append("")
    lines.append(
        "The outcome is the usual one; a request with a key gets `unknown` unless "
        "the\nholder of its key has proved otherwise.\n"
    )
    return "\n".join(lines)


def reference_pages() -> dict[str, str]:
    """Return each page by its file name."""
    return {
        "errors.md": error_page(),
        "settings.md": page(
            "Settings of the processes",
            {
                "`briarthread serve`": ENTRY_SECTIONS,
                "`briarthread direct`": DIRECT_SECTIONS,
                "`briarthread-agent`": AGENT_SECTIONS,
                "`briarthread-agent --direct`": DIRECT_AGENT_SECTIONS,
            },
            CLOCKS,
        ),
        "text.md": page(
            "The services text",
            {"Sections": tuple(TEXT_SPECS.values())},
            "Sections other than `objective` carry a name, as in `[service diary]`.\n",
        ),
    }


def main() -> None:
    """Write the pages."""
    folder = Path(docopt(__doc__)["FOLDER"])
    for name, text in reference_pages().items():
        (folder / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
