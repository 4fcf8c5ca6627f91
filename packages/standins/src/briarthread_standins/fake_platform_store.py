"""A fake of the platform's store, in the platform's own protocol."""

import base64
from collections import deque
from dataclasses import dataclass
from urllib.parse import parse_qs

import anyio
import msgspec

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_standins.caller_host import caller_host

PAGE_ROWS = 500
MAX_BODY_BYTES = 1024 * 1024
FORBIDDEN_TABLES = ("op", "servers")


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A version of a row; a ``value`` of ``None`` marks a deletion."""

    table: str
    key: str
    value: str | None
    ver: int


class FakePlatformStore:
    """
    Store rows with versions from one counter and a history of changes.

    ``refusal_status`` is the status of all responses while it is set; an
    ``unresponsive`` store sends none. Callers at the addresses in ``refused_callers``
    are refused while others are served. ``unanswered_writes`` counts the next writes
    that are committed without a response, ``delayed_writes`` those that are committed
    only after ``write_delay_seconds``, also without a response. ``page_size`` is the
    largest number of rows of a response.
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
        """Write a row as the operator or a worker would."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._set(table, key, base64.b64encode(raw).decode())

    def delete(self, table: str, key: str) -> None:
        """Remove a row."""
        self._set(table, key, None)

    def value(self, table: str, key: str) -> bytes | None:
        """Return the decoded value of a row, ``None`` if it does not exist."""
        row = self.rows.get((table, key))
        return base64.b64decode(row.value) if row and row.value is not None else None

    def discard_history(self) -> None:
        """Discard the change history, so that feeds from before now get a 410."""
        self.history.clear()
        self.discarded_version = self.ver
        self._notify_change()

    def _set(self, table: str, key: str, value: str | None) -> None:
        self.ver += 1
        row = StoredRow(table, key, value, self.ver)
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = row
        self.history.append(row)
        self._notify_change()

    def _notify_change(self) -> None:
        event, self.changed = self.changed, anyio.Event()
        event.set()

    async def _count_and_check(self, call: Call) -> bool:
        self.calls += 1
        return await self._check_available(call)

    async def _check_available(self, call: Call) -> bool:
        if self.unresponsive:
            await call.wait_for_disconnect()
            return False
        if self.refusal_status is not None or caller_host(call) in self.refused_callers:
            await call.reply(self.refusal_status or 503, b"")
            return False
        return True

    async def _handle_get(self, call: Call) -> None:
        if not await self._count_and_check(call):
            return
        query = _parse_query(call)
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
        if not await self._count_and_check(call):
            return
        query = _parse_query(call)
        after = int(query["after"])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            with anyio.move_on_after(int(query["waitMs"]) / 1000):
                while after >= self.discarded_version and not self._changes_since(
                    query["table"], after
                ):
                    await self.changed.wait()
            tasks.cancel_scope.cancel()
        if not await self._check_available(call):
            return
        if after < self.discarded_version:
            await call.reply(410, b"")
            return
        await self._reply_rows(call, self._changes_since(query["table"], after), False)

    async def _handle_tx(self, call: Call) -> None:
        if not await self._count_and_check(call):
            return
        transaction = await call.read_json(dict, MAX_BODY_BYTES)
        if any(row["table"] in FORBIDDEN_TABLES for row in transaction["setKeys"]):
            await call.reply(403, b"")
            return
        if self.delayed_writes:
            self.delayed_writes -= 1
            await anyio.sleep(self.write_delay_seconds)
            self._apply(transaction)
            return
        if not self._preconditions_hold(transaction):
            await call.reply(412, b'{"rows":[]}')
            return
        self._apply(transaction)
        if self.unanswered_writes:
            self.unanswered_writes -= 1
            await call.wait_for_disconnect()
            return
        await call.reply_json({"ver": self.ver, "nowMs": self._now()})

    def _preconditions_hold(self, transaction: dict) -> bool:
        for expected in transaction.get("expectedRev", []):
            row = self.rows.get((expected["table"], expected["key"]))
            if (row.ver if row else 0) != expected["ver"]:
                return False
        return True

    def _apply(self, transaction: dict) -> None:
        if self._preconditions_hold(transaction):
            for row in transaction["setKeys"]:
                self._set(row["table"], row["key"], row["value"])

    def _changes_since(self, table: str, after: int) -> list[StoredRow]:
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
                "rows": [_encode_row(row) for row in rows],
                "truncated": truncated,
                "ver": self.ver,
                "nowMs": self._now(),
            }
        )

    def _now(self) -> int:
        return int(anyio.current_time() * 1000)


def _encode_row(row: StoredRow) -> dict[str, object]:
    fields = {"table": row.table, "part": "", "key": row.key, "ver": row.ver}
    if row.value is None:
        return {**fields, "tombstone": True}
    return {**fields, "value": row.value}


def _parse_query(call: Call) -> dict[str, str]:
    return {name: values[0] for name, values in parse_qs(call.query).items()}
