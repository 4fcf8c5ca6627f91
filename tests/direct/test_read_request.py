"""What of a caller's request is forwarded."""

import json
import random

import anyio
from direct_builders import build_config

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.metrics import Metrics
from briarthread_common.http.call import Call
from briarthread_common.utils.clock import Clock
from briarthread_entry.direct.memory.held_bytes import hold_bytes
from briarthread_entry.direct.memory.memory_budget import MemoryBudget
from briarthread_entry.direct.requests.read_request import RequestReader
from briarthread_platform.adapter import ADAPTER
from briarthread_platform.operator_config import decode_config

FIELDS = [
    (b"host", b"salon.example"),
    (b"x-request-id", b"r-1"),
    (b"x-credential", b"key-1"),
    (b"accept", b"text/plain"),
    (b"accept", b"text/html"),
    (b"transfer-encoding", b"chunked"),
]


def test_trailer_fields_are_not_forwarded_as_header_fields() -> None:
    """Guards against a second id of a request, from the end of its body."""
    scope = {
        "method": "POST",
        "path": "/book/1",
        "raw_path": b"/book/1",
        "headers": list(FIELDS),
    }

    async def receive() -> dict[str, object]:
        scope["headers"].append((b"x-request-id", b"r-2"))
        return {"type": "http.request", "body": b"x", "more_body": False}

    async def scenario() -> None:
        metrics = Metrics()
        budget = MemoryBudget(0, metrics, EventLog(Clock(), "entry"))
        routes = decode_config(json.dumps(build_config()))
        reader = RequestReader(ADAPTER.headers, random.Random(1))
        with hold_bytes(budget) as held:
            request = await reader.read(
                Call(scope, receive, anyio.sleep), routes, 0.0, held
            )
        assert request.headers == (
            ("host", "salon.example"),
            ("x-request-id", "r-1"),
            ("accept", "text/plain"),
            ("accept", "text/html"),
        )

    anyio.run(scenario)
