"""The ``briarthread-agent`` command."""

import sys
from pathlib import Path

from docopt import docopt

from briarthread_agent.ranks.settings import load_direct_agent_settings
from briarthread_agent.settings import load_agent_settings
from briarthread_common.core.exceptions import ChecksFailed, ListenError
from briarthread_common.core.exit_code import ExitCode
from briarthread_common.core.logs import set_up_logs
from briarthread_common.core.run_loop import run_loop

VERSION = "briarthread-agent 0.3.0"

USAGE = """
Run the agent of one target: it runs each attempt at most once, in fair order.
With --direct, run the agent of a target that entries call directly: it changes
the expert map of the target's group.

Usage:
  briarthread-agent SETTINGS
  briarthread-agent --direct SETTINGS
  briarthread-agent --check SETTINGS
  briarthread-agent (-h | --help)
  briarthread-agent --version

Options:
  --direct   Run the agent of a target that entries call directly.
  --check    Check the settings file and exit.
  -h --help  Show this text.
  --version  Show the version.

SETTINGS is an INI file; docs/reference/settings.md lists its options.
It exits with 0 after a graceful stop and with 2 when the settings have
faults, all of which it lists on standard error.
"""


def main() -> None:
    """Run the ``briarthread-agent`` command and exit."""
    arguments = docopt(USAGE, version=VERSION)
    path = Path(arguments["SETTINGS"])
    direct = arguments["--direct"]
    try:
        settings = (
            load_direct_agent_settings(path) if direct else load_agent_settings(path)
        )
    except ChecksFailed as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.FAULTS)
    if arguments["--check"]:
        print("settings are good")
        sys.exit(ExitCode.DONE)
    set_up_logs(settings.log_level, settings.log_json)
    try:
        # Each kind of agent imports only its own modules, because every import
        # lengthens the start of the process.
        if direct:
            from briarthread_agent.ranks.direct_agent import serve_direct

            run_loop(serve_direct, settings, path)
        else:
            from briarthread_agent.run_agent import serve

            run_loop(serve, settings)
    except ListenError as error:
        print(f"{error}; is it in use or not this machine's?", file=sys.stderr)
        sys.exit(ExitCode.FAILED)
