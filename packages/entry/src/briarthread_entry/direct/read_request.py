"""Reading of a caller's request to a direct target."""

import random

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.direct.direct_account import DirectAccount
from briarthread_common.direct.header_names import HeaderNames
from briarthread_common.direct.host_route import HostRoute
from briarthread_common.direct.route_map import RouteMap
from briarthread_common.http.call import Call
from briarthread_entry.direct.direct_request import DirectRequest
from briarthread_entry.direct.request_digest import request_digest

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
"""Headers that concern one connection only (RFC 9110, 7.6.1); the length is
stated anew for the body as it was read."""
NO_ACCOUNT = DirectAccount("")


class RequestReader:
    """Turn a call into a request, or raise RequestError saying what is wrong."""

    def __init__(self, names: HeaderNames, rng: random.Random) -> None:
        self.names = names
        self.rng = rng
        self.own_headers = frozenset(
            {
                names.account_key,
                names.account_name,
                names.expected_target,
                names.time_left,
                names.resume_from,
            }
        )

    async def read(self, call: Call, routes: RouteMap, arrived: float) -> DirectRequest:
        """Return the request of a call, its body included."""
        headers = call.headers
        host = headers.get("host", "").partition(":")[0].lower()
        route = routes.match(host, call.raw_path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f"no route for {host}")
        account = self._account(headers, route, routes)
        body = await self._read_body(call, headers, routes)
        service = routes.services[self._choose_service(route)]
        prompt, answer = _size(headers.get(self.names.token_counts, ""))
        patience = self._patience(headers)
        timeout = route.timeout
        priority = route.priority if account.priority is None else account.priority
        return DirectRequest(
            id=headers.get(self.names.request_id, ""),
            method=call.method,
            path=call.raw_target,
            headers=self._passed_on(call, headers),
            body=body,
            route=route,
            service=service,
            account=account.name,
            priority=priority,
            arrived=arrived,
            deadline=arrived
            + (timeout if patience is None else min(patience, timeout)),
            caller_timeout=patience,
            prompt_tokens=prompt,
            answer_tokens=answer,
            last_event_id=_event_id(headers.get(self.names.resume_from)),
            digest=request_digest(account.name, call.method, call.raw_target, body),
        )

    def _account(
        self, headers: dict[str, str], route: HostRoute, routes: RouteMap
    ) -> DirectAccount:
        account = routes.accounts.get(headers.get(self.names.account_key, ""))
        if account is not None:
            return account
        if routes.needs_key and not route.public:
            raise RequestError(ErrorKind.UNAUTHORIZED, "the key is not known")
        return NO_ACCOUNT

    async def _read_body(
        self, call: Call, headers: dict[str, str], routes: RouteMap
    ) -> bytes | None:
        if "content-length" not in headers and "transfer-encoding" not in headers:
            return None
        try:
            with anyio.fail_after(routes.limits.idle_timeout):
                return await call.read_body(routes.limits.max_body_bytes)
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.BODY_TOO_SLOW, "the body did not come in time"
            ) from error

    def _choose_service(self, route: HostRoute) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self.rng.choices(route.shares, weights)[0].service

    def _patience(self, headers: dict[str, str]) -> float | None:
        raw = headers.get(self.names.time_left)
        if raw is None:
            return None
        try:
            return float(raw) / 1000
        except ValueError as error:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"{self.names.time_left} is not a number"
            ) from error

    def _passed_on(
        self, call: Call, headers: dict[str, str]
    ) -> tuple[tuple[str, str], ...]:
        listed = {
            name.strip().lower() for name in headers.get("connection", "").split(",")
        }
        dropped = CONNECTION_HEADERS | self.own_headers | listed
        return tuple(pair for pair in call.header_fields if pair[0] not in dropped)


def _size(raw: str) -> tuple[int, int]:
    """
    Return the tokens of the prompt and the most tokens of the answer.

    >>> _size("1460,80"), _size("")
    ((1460, 80), (0, 0))
    """
    prompt, _, answer = raw.partition(",")
    return _number(prompt), _number(answer)


def _number(raw: str) -> int:
    return int(raw) if raw.isdecimal() else 0


def _event_id(raw: str | None) -> int | None:
    return int(raw) if raw is not None and raw.isdecimal() else None
