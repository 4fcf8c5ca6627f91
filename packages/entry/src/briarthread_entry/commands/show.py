"""``briarthread show``."""

import re

from briarthread_common.core.exit_code import ExitCode
from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.feeds.feed_set import FeedName
from briarthread_common.http.channel_calls import call_json
from briarthread_common.messages.exchange import Exchange
from briarthread_common.platform.feed_store import FeedStore
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.spread.feed_replicator import EXCHANGE_PATH
from briarthread_common.text.split_text import join_text
from briarthread_common.text.text_store import without_meta
from briarthread_entry.commands.base import Arguments, Command

VERSION_LINE = re.compile(r"\A# briarthread text, version (?P<number>\d+)\n")
TIMEOUT_SECONDS = 5.0


class ShowCommand(Command):
    """Print the services text."""

    usage = """
Print the services text, with its version in the first line.

Usage:
  briarthread show --platform=ADDRESS
  briarthread show --entry=ADDRESS

Options:
  --platform=ADDRESS  Show the text in the platform's table.
  --entry=ADDRESS     Show the text that an entry or agent uses.

It exits with 0, or with 4 when the address cannot be reached.
"""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Fetch the text and print it."""
        patch = await self._fetch(arguments)
        number = patch.number if patch else 0
        sections = {k: v for k, v in (patch.changes if patch else {}).items() if v}
        print(f"# briarthread text, version {number}")
        print(join_text(without_meta(sections)), end="")
        return ExitCode.DONE

    async def _fetch(self, arguments: Arguments) -> FeedPatch | None:
        if arguments["--platform"]:
            address = str(arguments["--platform"])
            platform = PlatformClient(self.channel, [address], TIMEOUT_SECONDS)
            return await FeedStore(platform, FeedName.TEXT).read_since(0)
        answer = await call_json(
            self.channel,
            str(arguments["--entry"]),
            "POST",
            EXCHANGE_PATH,
            Exchange({}),
            Exchange,
            TIMEOUT_SECONDS,
        )
        return next((p for p in answer.patches if p.feed == FeedName.TEXT), None)
