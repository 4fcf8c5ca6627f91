"""
Write the reference pages of the errors, the settings and the services text.

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

GENERATED_NOTE = (
    "This page is written by `python -m briarthread_measure.reference_pages "
    "docs/reference`.\n"
)
CLOCK_NOTE = (
    "Clocks of all instances have to agree within 2 s: deadlines travel as Unix time.\n"
)


def section_table(spec: SectionSpec) -> str:
    """Return the heading, the help text and the option table of a section."""
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


def page(
    title: str, section_groups: dict[str, Sequence[SectionSpec]], intro: str
) -> str:
    """Return a page with a heading for each group of sections."""
    blocks = [f"# {title}\n", GENERATED_NOTE, intro]
    for heading, specs in section_groups.items():
        blocks.append(f"## {heading}\n")
        blocks.extend(section_table(spec) for spec in specs)
    return "\n".join(blocks)


def error_page() -> str:
    """Return the page that lists the error kinds."""
    lines = [
        "# Errors\n",
        GENERATED_NOTE,
        "| kind | status | outcome | Retry-After | title |",
        "| --- | --- | --- | --- | --- |",
    ]
    for kind, row in ERROR_RESPONSES.items():
        min_wait = (
            "none" if row.retry_after is None else f"{row.retry_after:g} s or more"
        )
        lines.append(
            f"| `{kind}` | {row.status} | {row.outcome} | {min_wait} | {row.title} |"
        )
    lines.append("")
    lines.append(
        "The outcome is the usual one; a request with a key gets `unknown` unless "
        "the\nholder of its key has proved otherwise.\n"
    )
    return "\n".join(lines)


def reference_pages() -> dict[str, str]:
    """Return the content of each page by file name."""
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
            CLOCK_NOTE,
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
