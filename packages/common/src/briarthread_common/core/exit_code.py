"""Exit codes of the entry and the agent."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit status of a command."""

    DONE = 0
    FAILED = 1
    FAULTS = 2
    CONFLICT = 3
    UNREACHABLE = 4
