"""Base class of the commands."""

from collections.abc import Mapping

from briarthread_common.core.exit_code import ExitCode
from briarthread_common.http.http_channel import HttpChannel

Arguments = Mapping[str, object]


class Command:
    """
    Run one subcommand of ``briarthread``.

    Subclasses define ``usage``, from which docopt parses their arguments, and
    override ``run``.
    """

    usage = ""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Run the command and return its exit code."""
        raise NotImplementedError

    async def handle(self, arguments: Arguments) -> ExitCode:
        """Run the command with a channel that is closed afterwards."""
        self.channel = HttpChannel()
        try:
            return await self.run(arguments)
        finally:
            await self.channel.close()
