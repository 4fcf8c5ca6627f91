"""A small ASGI application made of routes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.error_response import ERROR_RESPONSES
from briarthread_common.core.exceptions import RequestError
from briarthread_common.http.call import Call, CallerDisconnected

Handler = Callable[[Call], Awaitable[None]]


class ResponseAborted(Exception):  # noqa: N818
    """
    An answer that had begun cannot be made whole.

    The server then closes the connection without the body's end, so that
    the other side never takes the part for the whole.
    """


@dataclass(frozen=True, slots=True)
class Route:
    """Tie a method and a path to a handler; a path ending in / is a prefix."""

    method: str
    path: str
    handler: Handler

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a call is this route's."""
        if self.method not in ("*", method):
            return False
        if self.path.endswith("/"):
            return path.startswith(self.path)
        return path == self.path


class App:
    """Answer each call by the first route that matches it."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one ASGI call."""
        if scope["type"] != "http":
            return
        call = Call(scope, receive, send)
        try:
            await self._handle(call)
        except CallerDisconnected:
            return
        except RequestError as error:
            await self._answer_error(call, error)
        except ResponseAborted:
            raise
        except Exception as error:
            if _is_abort(error):
                raise ResponseAborted(call.path) from error
            logger.exception("http: handler failed on {}", call.path)
            internal = RequestError(ErrorKind.INTERNAL, "see the log")
            await self._answer_error(call, internal)

    async def _handle(self, call: Call) -> None:
        for route in self.routes:
            if route.matches(call.method, call.path):
                await route.handler(call)
                return
        raise RequestError(ErrorKind.NOT_FOUND, f"{call.method} {call.path}")

    async def _answer_error(self, call: Call, error: RequestError) -> None:
        if call.started:
            raise ResponseAborted(str(error)) from error
        await call.reply_error(error, ERROR_RESPONSES[error.kind].status)


def _is_abort(error: Exception) -> bool:
    """Tell whether a task group failed by nothing but an aborted answer."""
    if not isinstance(error, ExceptionGroup):
        return False
    return error.split(ResponseAborted)[1] is None
