"""``briarthread check``."""

from pathlib import Path

from briarthread_common.core.check_message import CheckMessage
from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.core.exit_code import ExitCode
from briarthread_common.direct.load_adapter import load_adapter
from briarthread_common.text.build_text import build_text
from briarthread_common.text.split_text import split_text
from briarthread_entry.commands.base import Arguments, Command
from briarthread_entry.direct.settings import load_direct_settings
from briarthread_entry.settings import load_entry_settings


class CheckCommand(Command):
    """Check a services text or a settings file and list all faults."""

    usage = """
Check a services text, or the settings of an entry.

Usage:
  briarthread check [--settings] FILE

Options:
  --settings  FILE holds settings. A file with a section [instance] is treated
              as settings without this option, too.

Settings with a section [direct] are settings of `briarthread direct`; the
adapter that they name is loaded.

It exits with 0 when FILE is good and with 2 when it has faults.
"""

    async def run(self, arguments: Arguments) -> ExitCode:
        """Check the file."""
        path = Path(str(arguments["FILE"]))
        raw = read_text_file(path)
        if arguments["--settings"] or _has_section(raw, "instance"):
            check_settings(path, raw)
            print(f"{path}: settings are good")
            return ExitCode.DONE
        text = build_text(1, split_text(raw))
        print(
            f"{path}: good, {len(text.services)} services, "
            f"{len(text.accounts)} accounts, {len(text.data_centres)} data centres"
        )
        return ExitCode.DONE


def check_settings(path: Path, raw: str) -> None:
    """Raise ChecksFailed if settings of an entry, of either kind, have faults."""
    if _has_section(raw, "direct"):
        load_adapter(load_direct_settings(path).adapter)
    else:
        load_entry_settings(path)


def _has_section(raw: str, name: str) -> bool:
    return f"[{name}]" in (line.strip() for line in raw.splitlines())


def read_text_file(path: Path) -> str:
    """Return the text of a file, or raise ChecksFailed with the reason."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = CheckMessage("text.E006", str(path), f"cannot be read: {error}")
        raise ChecksFailed([fault]) from error
