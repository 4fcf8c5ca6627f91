"""Configuration of the log."""

import sys

from loguru import logger

from briarthread_common.core.log_sink import LogSink

TEXT_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}"


def set_up_logs(level: str, as_json: bool) -> None:
    """Write the log to standard output, as text or as one JSON object per line."""
    logger.remove()
    logger.add(LogSink(sys.stdout), level=level, format=TEXT_FORMAT, serialize=as_json)
