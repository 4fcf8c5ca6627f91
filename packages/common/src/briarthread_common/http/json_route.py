"""A route whose message and answer are JSON."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from briarthread_common.http.app import Route
from briarthread_common.http.call import Call

T = TypeVar("T")
MAX_SMALL_MESSAGE_BYTES = 1000
"""Largest message, in bytes, that names a few numbers and a group."""


def json_route(
    path: str,
    message: type[T],
    answer: Callable[[T], Awaitable[object]],
    limit: int = MAX_SMALL_MESSAGE_BYTES,
) -> Route:
    """
    Return a route that answers messages of a type.

    A message of more than ``limit`` bytes, or of another shape, is refused.
    """

    async def handle(call: Call) -> None:
        await call.reply_json(await answer(await call.read_json(message, limit)))

    return Route("POST", path, handle)
