"""The story of a request, read from logs."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

LINE_START = re.compile(
    r"(?P<source>.*?)(?P<at>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d\.\d{3}) \w+ "
)
"""A line of the log, after whatever a collector put before it."""
STATE_LINE = re.compile(
    r" (group|spread|routes|logs): "
    r"| (target-ejected|ranks-slow|map-unsettled|map-finished) "
)
"""Lines that say what a process believes of the world."""
CONTEXT_BEFORE = timedelta(seconds=2)
"""How long before a request's first line a belief still explains it."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line with its time and what a collector put before it."""

    text: str
    at: datetime
    source: str


def extract_log(lines: Iterable[str], subject: str) -> list[str]:
    r"""
    Return the lines about a subject, and what was believed at that time.

    Beliefs are those of the processes that name the subject, from two seconds
    before its first line to its last.

    >>> log = [
    ...     "a 2026-01-01 10:00:00.000 INFO entry: request-served t request=r1: 200",
    ...     "a 2026-01-01 10:00:01.000 WARNING group: model is not serving: 10.0.0.1",
    ...     "b 2026-01-01 10:00:01.000 WARNING group: model is not serving: 10.0.0.1",
    ...     "a 2026-01-01 10:00:02.000 INFO entry: request-failed s request=r2: broken",
    ... ]
    >>> extract_log(log, "r2") == [log[1], log[3]]
    True
    """
    read = [line for line in map(_read, lines) if line is not None]
    named = re.compile(rf"(?<![\w.-]){re.escape(subject)}(?![\w-])")
    about = [line for line in read if named.search(line.text)]
    if not about:
        return []
    first = min(line.at for line in about) - CONTEXT_BEFORE
    last = max(line.at for line in about)
    sources = {line.source for line in about}
    story = [
        line
        for line in read
        if line in about
        or (
            line.source in sources
            and first <= line.at <= last
            and STATE_LINE.search(line.text)
        )
    ]
    return [line.text for line in sorted(story, key=lambda line: line.at)]


def _read(text: str) -> LogLine | None:
    found = LINE_START.match(text)
    if found is None:
        return None
    at = datetime.strptime(found["at"], "%Y-%m-%d %H:%M:%S.%f")
    return LogLine(text.rstrip("\n"), at, found["source"])
