"""Minimal ASGI application that dispatches calls to routes."""

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
    A response that was already started cannot be completed.

    The server closes the connection without terminating the body, so that
    the client can't mistake the truncated body for a complete one.
    """


@dataclass(frozen=True, slots=True)
class Route:
    """
    Map a method and a path to a handler.

    The method ``*`` matches any method; a path that ends in / matches as a prefix.
    """

    method: str
    path: str
    handler: Handler

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route matches a call."""
        if self.method not in ("*", method):
            return False
        if self.path.endswith("/"):
            return path.startswith(self.path)
        return path == self.path


class App:
    """Dispatch each call to the first matching route."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one ASGI call."""
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
    """Return whether an exception group contains only ResponseAborted."""
    if not isinstance(error, ExceptionGroup):
        return False
    return error.split(ResponseAborted)[1] is None
