"""Tests for the server side of a call."""

import anyio
import pytest

from briarthread_common.core.exceptions import RequestError
from briarthread_common.http.call import Call
from briarthread_standins.virtual_time import run_virtual

SLOW_SECONDS = 0.2


def test_deadline_does_not_truncate_a_started_response() -> None:
    sent: list[dict[str, object]] = []

    async def send_slowly(message: dict[str, object]) -> None:
        await anyio.sleep(SLOW_SECONDS)
        sent.append(message)

    async def scenario() -> Call:
        scope = {"method": "GET", "path": "/", "headers": []}
        call = Call(scope, anyio.sleep_forever, send_slowly)
        with anyio.move_on_after(SLOW_SECONDS * 1.5):
            await call.reply(200, b"whole")
        return call

    assert run_virtual(scenario).finished
    assert sent[-1]["body"] == b"whole"


@pytest.mark.parametrize("name", ["accept", "accept-language", "baggage", "tracestate"])
def test_repeated_lists_are_joined(name: str) -> None:
    """Guards against refusing what may be sent in several lines."""
    headers = [(name.encode(), b"a"), (b"host", b"x"), (name.encode(), b"b")]
    scope = {"method": "GET", "path": "/", "headers": headers}
    call = Call(scope, anyio.sleep_forever, anyio.sleep)
    assert call.headers == {name: "a, b", "host": "x"}


@pytest.mark.parametrize(
    "headers",
    [
        [(b"idempotency-key", b"a"), (b"idempotency-key", b"b")],
        [(b"content-length", b"3"), (b"transfer-encoding", b"chunked")],
    ],
)
def test_ambiguous_headers_are_rejected(
    headers: list[tuple[bytes, bytes]],
) -> None:
    scope = {"method": "POST", "path": "/", "headers": headers}
    call = Call(scope, anyio.sleep_forever, anyio.sleep)
    with pytest.raises(RequestError, match="bad-request"):
        _ = call.headers
