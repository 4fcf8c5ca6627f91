"""``briarthread check``."""

from pathlib import Path

from briarthread_common.core.check_message import CheckMessage
from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.core.exit_code import ExitCode
from briarthread_common.text.build_text import build_text
from briarthread_common.text.split_text import split_text
from briarthread_entry.commands.base import Arguments, Command
from briarthread_entry.settings import load_entry_settings


class CheckCommand(Command):
    """Check a services text or a settings file, listing all faults."""

    usage = """
Check a services text, or with --settings the settings of an entry.

Usage:
  briarthread check [--settings] FILE

Options:
  --settings  FILE holds the settings of an entry, not a services text.

It exits with 0 when FILE is good and with 2 when it has faults.
"""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Check the file."""
        path = Path(str(arguments["FILE"]))
        if arguments["--settings"]:
            load_entry_settings(path)
            print(f"{path}: settings are good")
            return ExitCode.DONE
        text = build_text(1, split_text(read_text_file(path)))
        print(
            f"{path}: good, {len(text.services)} services, "
            f"{len(text.accounts)} accounts, {len(text.data_centres)} data centres"
        )
        return ExitCode.DONE


def read_text_file(path: Path) -> str:
    """Return a file's text or raise ChecksFailed saying why not."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = CheckMessage("text.E006", str(path), f"cannot be read: {error}")
        raise ChecksFailed([fault]) from error
