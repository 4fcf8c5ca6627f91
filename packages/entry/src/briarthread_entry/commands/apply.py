"""``briarthread apply``."""

import difflib
import getpass
import re
import sys
import time
from pathlib import Path

from briarthread_common.core.check_message import CheckMessage
from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.core.exit_code import ExitCode
from briarthread_common.feeds.feed_set import FeedName
from briarthread_common.platform.feed_store import FeedStore
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.text.split_text import join_text, split_text
from briarthread_common.text.text_store import (
    Accepted,
    Superseded,
    TextStore,
    Unchanged,
)
from briarthread_entry.commands.base import Arguments, Command
from briarthread_entry.commands.check import read_text_file
from briarthread_entry.commands.show import VERSION_LINE

PLATFORM_TIMEOUT_SECONDS = 5.0


class ApplyCommand(Command):
    """Write a services text to the platform."""

    usage = """
Activate a services text in every data centre.

Usage:
  briarthread apply --platform=ADDRESS [--base=VERSION] [--by=NAME] FILE

Options:
  --platform=ADDRESS  IP:PORT of the platform's table.
  --base=VERSION      Version that FILE was edited from. By default it is
                      taken from the first line that ``show`` wrote; 0 for
                      the first text.
  --by=NAME           Who applies it; the user's name by default.

It exits with 0 when the text was accepted, 2 when it has faults, 3 when
another version was accepted meanwhile (the difference is shown and FILE is
not activated) and 4 when the platform cannot be reached.
"""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Check the text and write it by compare-and-set."""
        raw = read_text_file(Path(str(arguments["FILE"])))
        base = _base_version(arguments["--base"], raw)
        sections = split_text(VERSION_LINE.sub("", raw, count=1))
        platform = PlatformClient(
            self.channel, [str(arguments["--platform"])], PLATFORM_TIMEOUT_SECONDS
        )
        store = TextStore(FeedStore(platform, FeedName.TEXT))
        by = str(arguments["--by"] or getpass.getuser())
        result = await store.apply(base, sections, by, time.time())
        match result:
            case Accepted(number=number):
                print(f"accepted as version {number}")
                return ExitCode.DONE
            case Unchanged(number=number):
                print(f"version {number} already has the same content")
                return ExitCode.DONE
            case Superseded():
                self._show_conflict(result, sections)
                return ExitCode.CONFLICT

    def _show_conflict(
        self, conflict: Superseded, own_sections: dict[str, str]
    ) -> None:
        print(
            f"not accepted: version {conflict.number} by {conflict.by} was accepted "
            "meanwhile, so the file was not activated. Run show, edit its output and "
            "apply that. The difference:",
            file=sys.stderr,
        )
        difference = difflib.unified_diff(
            join_text(conflict.sections).splitlines(),
            join_text(own_sections).splitlines(),
            f"version {conflict.number}",
            "yours",
            lineterm="",
        )
        print("\n".join(difference), file=sys.stderr)


def _base_version(option: object, raw: str) -> int:
    if option is not None:
        text = str(option)
    else:
        found = VERSION_LINE.match(raw)
        text = found["number"] if found else "0"
    if not re.fullmatch(r"\d+", text):
        fault = CheckMessage("text.E007", "--base", f"{text!r} is not a version number")
        raise ChecksFailed([fault])
    return int(text)
