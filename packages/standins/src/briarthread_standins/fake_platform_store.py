"""A stand-in for the store of the users' platform, in its own protocol."""

import base64
from collections import deque
from dataclasses import dataclass
from urllib.parse import parse_qs

import anyio
import msgspec

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call

PAGE_ROWS = 500
MAX_BODY_BYTES = 1024 * 1024
FORBIDDEN_TABLES = ("op", "servers")


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One row; a ``value`` of ``None`` marks a row that was dropped."""

    table: str
    key: str
    value: str | None
    ver: int


class FakePlatformStore:
    """
    Keep rows with versions from one counter, and a history of changes.

    ``refuse`` makes every call be answered with a status, ``silent`` with
    nothing at all; ``refused_callers`` holds the addresses of callers that are
    refused while others are served. ``unanswered_writes`` counts writes that are
    done and not answered, ``delayed_writes`` those that are done only
    ``write_delay_seconds`` on.
    ``page`` is how many rows an answer holds.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.history: deque[StoredRow] = deque()
        self.ver = 0
        self.discarded_version = 0
        self.refusal_status: int | None = None
        self.unresponsive = False
        self.refused_callers: set[str] = set()
        self.unanswered_writes = 0
        self.delayed_writes = 0
        self.write_delay_seconds = 2.0
        self.page_size = PAGE_ROWS
        self.calls = 0
        self.changed = anyio.Event()
        self.app = App(
            [
                Route("GET", "/api/rows-get", self._handle_get),
                Route("GET", "/api/rows-feed", self._handle_feed),
                Route("POST", "/api/rows-tx", self._handle_tx),
            ]
        )

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a worker does."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._set(table, key, base64.b64encode(raw).decode())

    def delete(self, table: str, key: str) -> None:
        """Remove a row."""
        self._set(table, key, None)

    def value(self, table: str, key: str) -> bytes | None:
        """Return what a row holds."""
        row = self.rows.get((table, key))
        return base64.b64decode(row.value) if row and row.value is not None else None

    def discard_history(self) -> None:
        """Discard the history."""
        self.history.clear()
        self.discarded_version = self.ver
        self._wake()

    def _set(self, table: str, key: str, value: str | None) -> None:
        self.ver += 1
        row = StoredRow(table, key, value, self.ver)
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = row
        self.history.append(row)
        self._wake()

    def _wake(self) -> None:
        event, self.changed = self.changed, anyio.Event()
        event.set()

    async def _admit(self, call: Call) -> bool:
        self.calls += 1
        return await self._answers(call)

    async def _answers(self, call: Call) -> bool:
        if self.unresponsive:
            await call.wait_disconnect()
            return False
        if (
            self.refusal_status is not None
            or call.scope["client"][0] in self.refused_callers
        ):
            await call.reply(self.refusal_status or 503, b"")
            return False
        return True

    async def _handle_get(self, call: Call) -> None:
        if not await self._admit(call):
            return
        query = _query(call)
        first, end = query.get("from", ""), query.get("target")
        rows = sorted(
            (
                row
                for row in self.rows.values()
                if row.table == query["table"]
                and row.key >= first
                and (end is None or row.key < end)
            ),
            key=lambda row: row.key.encode(),
        )
        await self._reply_rows(call, rows[: self.page_size], len(rows) > self.page_size)

    async def _handle_feed(self, call: Call) -> None:
        if not await self._admit(call):
            return
        query = _query(call)
        after = int(query["after"])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            with anyio.move_on_after(int(query["waitMs"]) / 1000):
                while after >= self.discarded_version and not self._since(
                    query["table"], after
                ):
                    await self.changed.wait()
            tasks.cancel_scope.cancel()
        if not await self._answers(call):
            return
        if after < self.discarded_version:
            await call.reply(410, b"")
            return
        await self._reply_rows(call, self._since(query["table"], after), False)

    async def _handle_tx(self, call: Call) -> None:
        if not await self._admit(call):
            return
        change = await call.read_json(dict, MAX_BODY_BYTES)
        if any(row["table"] in FORBIDDEN_TABLES for row in change["setKeys"]):
            await call.reply(403, b"")
            return
        if self.delayed_writes:
            self.delayed_writes -= 1
            await anyio.sleep(self.write_delay_seconds)
            self._apply(change)
            return
        if not self._holds(change):
            await call.reply(412, b'{"rows":[]}')
            return
        self._apply(change)
        if self.unanswered_writes:
            self.unanswered_writes -= 1
            await call.wait_disconnect()
            return
        await call.reply_json({"ver": self.ver, "nowMs": self._now()})

    def _holds(self, change: dict) -> bool:
        for expected in change.get("expectedRev", []):
            row = self.rows.get((expected["table"], expected["key"]))
            if (row.ver if row else 0) != expected["ver"]:
                return False
        return True

    def _apply(self, change: dict) -> None:
        if self._holds(change):
            for row in change["setKeys"]:
                self._set(row["table"], row["key"], row["value"])

    def _since(self, table: str, after: int) -> list[StoredRow]:
        newest: dict[str, StoredRow] = {}
        for row in self.history:
            if row.table == table and row.ver > after:
                newest[row.key] = row
        return sorted(newest.values(), key=lambda row: row.ver)

    async def _reply_rows(
        self, call: Call, rows: list[StoredRow], truncated: bool
    ) -> None:
        await call.reply_json(
            {
                "rows": [_wire(row) for row in rows],
                "truncated": truncated,
                "ver": self.ver,
                "nowMs": self._now(),
            }
        )

    def _now(self) -> int:
        return int(anyio.current_time() * 1000)


def _wire(row: StoredRow) -> dict[str, object]:
    head = {"table": row.table, "part": "", "key": row.key, "ver": row.ver}
    if row.value is None:
        return {**head, "tombstone": True}
    return {**head, "value": row.value}


def _query(call: Call) -> dict[str, str]:
    return {name: values[0] for name, values in parse_qs(call.query).items()}
