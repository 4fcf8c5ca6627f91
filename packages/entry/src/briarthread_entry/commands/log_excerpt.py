"""Extraction of the lines about a subject from logs."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

LINE_START = re.compile(
    r"(?P<source>.*?)(?P<at>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d\.\d{3}) \w+ "
)
"""Start of a log line, after any prefix that a log collector added."""
STATE_LINE = re.compile(
    r" (group|spread|routes|logs): "
    r"| (target-ejected|ranks-slow|map-unsettled|map-finished) "
)
"""Lines about the state of the system as a process sees it."""
CONTEXT_BEFORE = timedelta(seconds=2)
"""Time before the first line about a subject from which state lines are included."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Log line with its time and the prefix that a log collector added."""

    text: str
    at: datetime
    source: str


def extract_log(lines: Iterable[str], subject: str) -> list[str]:
    r"""
    Return the lines about a subject, and the state that was logged at that time.

    State lines are those of the processes that name the subject, from two seconds
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
    parsed = [line for line in map(_parse, lines) if line is not None]
    pattern = re.compile(rf"(?<![\w.-]){re.escape(subject)}(?![\w-])")
    matching = [line for line in parsed if pattern.search(line.text)]
    if not matching:
        return []
    first = min(line.at for line in matching) - CONTEXT_BEFORE
    last = max(line.at for line in matching)
    sources = {line.source for line in matching}
    excerpt = [
        line
        for line in parsed
        if line in matching
        or (
            line.source in sources
            and first <= line.at <= last
            and STATE_LINE.search(line.text)
        )
    ]
    return [line.text for line in sorted(excerpt, key=lambda line: line.at)]


def _parse(text: str) -> LogLine | None:
    found = LINE_START.match(text)
    if found is None:
        return None
    at = datetime.strptime(found["at"], "%Y-%m-%d %H:%M:%S.%f")
    return LogLine(text.rstrip("\n"), at, found["source"])
