"""Parser of callers' requests to direct targets."""

import math
import random
from collections.abc import Callable, Sequence
from functools import partial

import anyio

from briarthread_common.core.decoding import read_amount, read_whole_number
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import DecodeError, RequestError
from briarthread_common.direct.direct_account import DirectAccount
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.header_names import HeaderNames
from briarthread_common.direct.host_route import HostRoute
from briarthread_common.direct.route_map import RouteMap
from briarthread_common.http.call import Call
from briarthread_entry.direct.admission.admission_rule import (
    MIN_RETRY_AFTER_SECONDS,
    retry_after_backoff,
    retry_after_outage,
)
from briarthread_entry.direct.memory.held_bytes import HeldBytes
from briarthread_entry.direct.memory.memory_rule import Granted, MemoryFull, TooLarge
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.requests.prompt_segments import shared_segments
from briarthread_entry.direct.requests.request_digest import request_digest

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern a single connection only (RFC 9110, 7.6.1); the content length
is set again for the body that was read."""
LEAST_URGENT = 9
"""Largest value of the urgency header; less urgent priorities are sent as this one."""
NO_ACCOUNT = DirectAccount("")
HeaderFields = Sequence[tuple[str, str]]
"""Header fields in order, as they were when the head had been read: those of a trailer
follow later, and are not forwarded."""


class RequestReader:
    """Parse a call into a request, or raise RequestError with the reason."""

    def __init__(self, names: HeaderNames, rng: random.Random) -> None:
        self.names = names
        self.rng = rng
        self.consumed_headers = frozenset(
            {
                names.account_key,
                names.account_name,
                names.expected_target,
                names.time_left,
                names.resume_from,
            }
        )

    async def read(
        self, call: Call, routes: RouteMap, arrived: float, held: HeldBytes
    ) -> DirectRequest:
        """Return the request of a call; the bytes of its body are reserved first."""
        headers, fields = call.headers, call.header_fields
        host = headers.get("host", "").partition(":")[0].lower()
        route = routes.match(host, call.raw_path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f"no route for host {host}")
        account = self._account(headers, route, routes)
        reserve = partial(self._reserve, headers, route, held)
        body = await self._read_body(call, headers, routes, reserve)
        service = self._find_service(route, routes)
        prompt_tokens, answer_tokens = _parse_token_counts(
            headers.get(self.names.token_counts, "")
        )
        caller_timeout = self._caller_timeout(headers)
        timeout = route.timeout
        priority = route.priority if account.priority is None else account.priority
        segments = self._segments(headers, account, service)
        return DirectRequest(
            id=headers.get(self.names.request_id, ""),
            method=call.method,
            path=call.raw_target,
            headers=self._target_headers(fields, headers, service, priority),
            body=body,
            route=route,
            service=service,
            account=account.name,
            priority=priority,
            arrived=arrived,
            deadline=arrived
            + (timeout if caller_timeout is None else min(caller_timeout, timeout)),
            caller_timeout=caller_timeout,
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            last_event_id=read_whole_number(headers.get(self.names.resume_from, "")),
            digest=request_digest(
                account.name, call.method, call.raw_target, body, segments
            ),
            segments=segments,
            held=held,
        )

    def _segments(
        self, headers: dict[str, str], account: DirectAccount, service: DirectService
    ) -> tuple[str, ...]:
        """Return the shared segments of a prompt, none for a plain service."""
        if service.engine is None:
            return ()
        return shared_segments(
            account.name, headers.get(self.names.prompt_segments, "")
        )

    def _account(
        self, headers: dict[str, str], route: HostRoute, routes: RouteMap
    ) -> DirectAccount:
        account = routes.accounts.get(headers.get(self.names.account_key, ""))
        if account is not None:
            return account
        if routes.needs_key and not route.public:
            raise RequestError(ErrorKind.UNAUTHORIZED, "unknown account key")
        return NO_ACCOUNT

    async def _read_body(
        self,
        call: Call,
        headers: dict[str, str],
        routes: RouteMap,
        reserve: Callable[[int], None],
    ) -> bytes | None:
        if "content-length" not in headers and "transfer-encoding" not in headers:
            return None
        limit = routes.limits.max_body_bytes
        length = read_whole_number(headers.get("content-length", ""))
        is_known = length is not None
        if length is not None:
            reserve(min(length, limit))
        try:
            with anyio.fail_after(routes.limits.idle_timeout):
                return await call.read_body(limit, None if is_known else reserve)
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.BODY_TOO_SLOW, "request body not received in time"
            ) from error

    def _reserve(
        self, headers: dict[str, str], route: HostRoute, held: HeldBytes, size: int
    ) -> None:
        """Reserve bytes of a body, or raise RequestError."""
        match held.reserve(size):
            case Granted():
                return
            case TooLarge(limit=limit):
                reason = f"body exceeds the {limit} bytes that a request may hold"
                held.budget.count("body-too-large")
                raise RequestError(ErrorKind.BODY_TOO_LARGE, reason)
            case MemoryFull(shortfall=shortfall):
                held.budget.count("body-refused")
                pause = self._retry_after(headers, route, held, shortfall)
                raise RequestError(
                    ErrorKind.OVERLOADED,
                    f"no memory for a body of {size} bytes",
                    retry_after=pause,
                )

    def _retry_after(
        self, headers: dict[str, str], route: HostRoute, held: HeldBytes, shortfall: int
    ) -> float:
        """
        Return the seconds after which enough memory is expected to be free.

        All bytes that are held now are released within the route's time limit. If none
        was released lately, the request is repeated as late as callers honour.
        """
        caller_timeout = self._caller_timeout(headers)
        time_left = route.timeout if caller_timeout is None else caller_timeout
        opens_in = held.budget.opens_in(shortfall)
        jitter = self.rng.random()
        if opens_in == math.inf:
            return retry_after_outage(time_left, opens_in, jitter)
        opens_in = max(min(opens_in, route.timeout), MIN_RETRY_AFTER_SECONDS)
        return retry_after_backoff(time_left, opens_in, jitter)

    def _find_service(self, route: HostRoute, routes: RouteMap) -> DirectService:
        name = self._choose_service(route)
        if name not in routes.services:
            raise RequestError(ErrorKind.NO_TARGET, f"no service {name[:40]!r}")
        return routes.services[name]

    def _choose_service(self, route: HostRoute) -> str:
        weights = [share.weight for share in route.shares]
        if len(weights) == 1 or not any(weights):
            return route.shares[0].service
        return self.rng.choices(route.shares, weights)[0].service

    def _caller_timeout(self, headers: dict[str, str]) -> float | None:
        raw = headers.get(self.names.time_left)
        if raw is None:
            return None
        try:
            return read_amount(raw) / 1000
        except DecodeError as error:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"{self.names.time_left}: {error}"
            ) from error

    def _target_headers(
        self,
        fields: HeaderFields,
        headers: dict[str, str],
        service: DirectService,
        priority: int,
    ) -> tuple[tuple[str, str], ...]:
        """
        Return the headers to send to the target.

        If the routes of the service differ in priority, the request's own priority
        replaces what the caller sent.
        """
        forwarded = self._forwarded_headers(fields, headers)
        if not service.has_priorities:
            return forwarded
        urgency = self.names.urgency
        value = str(min(max(priority, 0), LEAST_URGENT))
        return (*(pair for pair in forwarded if pair[0] != urgency), (urgency, value))

    def _forwarded_headers(
        self, fields: HeaderFields, headers: dict[str, str]
    ) -> tuple[tuple[str, str], ...]:
        connection_options = {
            name.strip().lower() for name in headers.get("connection", "").split(",")
        }
        dropped = CONNECTION_HEADERS | self.consumed_headers | connection_options
        return tuple(pair for pair in fields if pair[0] not in dropped)


def _parse_token_counts(raw: str) -> tuple[int, int]:
    """
    Return the number of prompt tokens and the largest number of answer tokens.

    >>> _parse_token_counts("1460,80"), _parse_token_counts("")
    ((1460, 80), (0, 0))
    """
    prompt_tokens, _, answer_tokens = raw.partition(",")
    return (
        read_whole_number(prompt_tokens) or 0,
        read_whole_number(answer_tokens) or 0,
    )
