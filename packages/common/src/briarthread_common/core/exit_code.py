"""The exit codes of both binaries."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Tell a script how a command ended."""

    DONE = 0
    FAILED = 1
    FAULTS = 2
    CONFLICT = 3
    UNREACHABLE = 4
