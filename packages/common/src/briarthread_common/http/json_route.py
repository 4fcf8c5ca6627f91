"""Routes with JSON messages and answers."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from briarthread_common.http.app import Route
from briarthread_common.http.call import Call

T = TypeVar("T")
MAX_SMALL_MESSAGE_BYTES = 1000
"""Size limit, in bytes, of messages with a few numbers and a group name."""


def json_route(
    path: str,
    message: type[T],
    answer: Callable[[T], Awaitable[object]],
    limit: int = MAX_SMALL_MESSAGE_BYTES,
) -> Route:
    """
    Return a route that decodes a message and sends the handler's answer.

    A message of more than ``limit`` bytes, or not of the type, is rejected.
    """

    async def handle(call: Call) -> None:
        await call.reply_json(await answer(await call.read_json(message, limit)))

    return Route("POST", path, handle)
