"""``briarthread status``."""

from typing import Any

import msgspec

from briarthread_common.core.exit_code import ExitCode
from briarthread_common.http.channel_calls import call_json
from briarthread_entry.commands.base import Arguments, Command

TIMEOUT_SECONDS = 5.0


class StatusCommand(Command):
    """Print the state that processes report."""

    usage = """
Print the state of entries and agents, one JSON object each.

Usage:
  briarthread status ADDRESS...

It exits with 0 when all are ready, 1 when one is not, and 4 when one cannot
be reached.
"""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Query each address in turn."""
        code = ExitCode.DONE
        for address in arguments["ADDRESS"]:
            status = await call_json(
                self.channel,
                address,
                "GET",
                "/status",
                None,
                dict[str, Any],
                TIMEOUT_SECONDS,
            )
            print(msgspec.json.format(msgspec.json.encode(status)).decode())
            if status.get("ready") != "yes":
                code = ExitCode.FAILED
        return code
