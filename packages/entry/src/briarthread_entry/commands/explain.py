"""``briarthread explain``."""

import sys
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path

from briarthread_common.core.event import Event
from briarthread_common.core.exit_code import ExitCode
from briarthread_common.http.channel_calls import call_json
from briarthread_common.http.status_pages import EXPLAIN_PREFIX
from briarthread_entry.commands.base import Arguments, Command
from briarthread_entry.commands.log_excerpt import extract_log

TIMEOUT_SECONDS = 5.0


class ExplainCommand(Command):
    """Print the decisions about a request, an instance or a service."""

    usage = """
Print what a process decided about a subject, and why, oldest first.

Usage:
  briarthread explain --at=ADDRESS SUBJECT
  briarthread explain --log=FILE SUBJECT

Options:
  --at=ADDRESS  IP:PORT of the entry or agent to ask.
  --log=FILE    Logs of one or more processes, - for standard input. The state
                logged at the time by those that name SUBJECT is printed, too.

SUBJECT is a request id, or the name of an instance, account or service. It
exits with 0, with 1 when nothing is known of SUBJECT (a process keeps its
newest 2000 decisions), with 2 when FILE cannot be read, and with 4 when the
address cannot be reached.
"""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Print one line per decision."""
        if arguments["--log"] is not None:
            return self._read_log(str(arguments["--log"]), str(arguments["SUBJECT"]))
        return await self._query(arguments)

    def _read_log(self, name: str, subject: str) -> ExitCode:
        try:
            lines = sys.stdin if name == "-" else _read_lines(Path(name))
            excerpt = extract_log(lines, subject)
        except OSError as error:
            print(f"{name}: {error.strerror}", file=sys.stderr)
            return ExitCode.FAULTS
        for line in excerpt:
            print(line)
        return ExitCode.DONE if excerpt else ExitCode.FAILED

    async def _query(self, arguments: Arguments) -> ExitCode:
        events = await call_json(
            self.channel,
            str(arguments["--at"]),
            "GET",
            f"{EXPLAIN_PREFIX}{arguments['SUBJECT']}",
            None,
            list[Event],
            TIMEOUT_SECONDS,
        )
        for event in events:
            at = datetime.fromtimestamp(event.at, UTC).isoformat(
                timespec="milliseconds"
            )
            request = f" [{event.request}]" if event.request else ""
            print(f"{at} {event.decision} {event.subject}: {event.reason}{request}")
        return ExitCode.DONE if events else ExitCode.FAILED


def _read_lines(path: Path) -> Iterator[str]:
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from file
