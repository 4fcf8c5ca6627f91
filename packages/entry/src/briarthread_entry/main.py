"""The ``briarthread`` command."""

import importlib
import sys

from docopt import docopt

from briarthread_common.core.exceptions import (
    ChannelError,
    ChecksFailed,
    ListenError,
    PlatformError,
)
from briarthread_common.core.exit_code import ExitCode
from briarthread_common.core.run_loop import run_loop
from briarthread_entry.commands.base import Command

VERSION = "briarthread 0.3.0"

USAGE = """
Balance load across expert-parallel model groups, and operate the balancer.

Usage:
  briarthread COMMAND [ARGUMENTS...]
  briarthread (-h | --help)
  briarthread --version

Commands:
  serve    Run an entry.
  direct   Run an entry that sends to targets without agents.
  check    Check a services text or a settings file.
  apply    Activate a services text.
  show     Print the services text.
  status   Print the state of entries and agents.
  explain  Print the decisions about a request, an instance or a service.

``briarthread COMMAND --help`` shows the help of a command.
"""

COMMANDS = {
    "serve": "ServeCommand",
    "direct": "DirectCommand",
    "check": "CheckCommand",
    "apply": "ApplyCommand",
    "show": "ShowCommand",
    "status": "StatusCommand",
    "explain": "ExplainCommand",
}
"""Class of each command; it is in the module with the command's name."""


def load_command(name: str) -> Command | None:
    """
    Import and return a command, ``None`` if it does not exist.

    The other commands are not imported, because importing all of them would add about
    two fifths to the processor time of the imports at each start of an entry.
    """
    if name not in COMMANDS:
        return None
    module = importlib.import_module(f"briarthread_entry.commands.{name}")
    return getattr(module, COMMANDS[name])()


def run_command(argv: list[str]) -> ExitCode:
    """Run the command given by the arguments and return its exit code."""
    arguments = docopt(USAGE, argv=argv, version=VERSION, options_first=True)
    command = load_command(arguments["COMMAND"])
    if command is None:
        print(f"unknown command {arguments['COMMAND']!r}; try --help", file=sys.stderr)
        return ExitCode.FAULTS
    options = docopt(command.usage, argv=argv)
    try:
        return run_loop(command.handle, options)
    except ChecksFailed as error:
        print(error, file=sys.stderr)
        return ExitCode.FAULTS
    except ListenError as error:
        print(f"{error}; is it in use or not this machine's?", file=sys.stderr)
        return ExitCode.FAILED
    except (ChannelError, PlatformError) as error:
        print(f"{error}; is the address right and up?", file=sys.stderr)
        return ExitCode.UNREACHABLE


def main() -> None:
    """Run the ``briarthread`` command and exit."""
    sys.exit(run_command(sys.argv[1:]))
