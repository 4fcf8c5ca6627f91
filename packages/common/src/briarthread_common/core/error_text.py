"""Bounded descriptions of unexpected errors for the log."""

import traceback

MAX_ERROR_CHARACTERS = 300
"""Longest description of an error; what it quotes may have any length."""
MAX_TRACEBACK_FRAMES = 20
MAX_TRACEBACK_CHARACTERS = 8000


def first_cause(error: BaseException) -> BaseException:
    """
    Return the first error in an exception group, or the error itself.

    >>> first_cause(ExceptionGroup("tasks", [ValueError("a"), KeyError("b")]))
    ValueError('a')
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def describe(error: BaseException) -> str:
    """
    Return an error's type and message on one line.

    >>> describe(ValueError("not  a number"))
    'ValueError: not a number'
    """
    cause = first_cause(error)
    message = " ".join(str(cause).split())
    return f"{type(cause).__name__}: {message}"[:MAX_ERROR_CHARACTERS]


def origin(error: BaseException) -> str:
    """Return an error's type and the file and line that raised it."""
    cause = first_cause(error)
    frames = traceback.extract_tb(cause.__traceback__, limit=-1)
    place = f"{frames[0].filename}:{frames[0].lineno}" if frames else "nowhere"
    return f"{type(cause).__name__} at {place}"


def format_traceback(error: BaseException) -> str:
    """Return the innermost frames of the first cause of an error."""
    cause = first_cause(error)
    lines = traceback.format_exception(cause, limit=-MAX_TRACEBACK_FRAMES, chain=False)
    return "".join(lines)[-MAX_TRACEBACK_CHARACTERS:]
