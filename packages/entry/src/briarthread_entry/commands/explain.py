"""``briarthread explain``."""

from datetime import UTC, datetime

from briarthread_common.core.event import Event
from briarthread_common.core.exit_code import ExitCode
from briarthread_common.http.channel_calls import call_json
from briarthread_common.http.status_pages import EXPLAIN_PREFIX
from briarthread_entry.commands.base import Arguments, Command

TIMEOUT = 5.0


class ExplainCommand(Command):
    """Print the decisions about a request, an instance or a service."""

    usage = """
Print what a process decided about a subject, and why, oldest first.

Usage:
  briarthread explain --at=ADDRESS SUBJECT

Options:
  --at=ADDRESS  IP:PORT of the entry or agent to ask.

SUBJECT is a request id, or the name of an instance, account or service. It
exits with 0, with 1 when nothing is known of SUBJECT (the newest 2000
decisions are kept), and with 4 when the address cannot be reached.
"""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Ask for the events and print a line each."""
        events = await call_json(
            self.channel,
            str(arguments["--at"]),
            "GET",
            f"{EXPLAIN_PREFIX}{arguments['SUBJECT']}",
            None,
            list[Event],
            TIMEOUT,
        )
        for event in events:
            at = datetime.fromtimestamp(event.at, UTC).isoformat(
                timespec="milliseconds"
            )
            request = f" [{event.request}]" if event.request else ""
            print(f"{at} {event.decision} {event.subject}: {event.reason}{request}")
        return ExitCode.DONE if events else ExitCode.FAILED
