"""Stand-in for the platform's store: rows-get, rows-feed and rows-tx of PROTOCOL.md."""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

from small_http import Request, reply

FORBIDDEN_TABLES = ("op", "servers")


class PlatformStore:
    """Keep rows with versions from one counter, and their history."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.history: list[dict] = []
        self.ver = 0
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or a worker does; return its version."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._set(table, "", key, base64.b64encode(raw).decode())

    def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        return self._set(table, "", key, None)

    def _set(self, table: str, part: str, key: str, value: str | None) -> int:
        self.ver += 1
        row = {"table": table, "part": part, "key": key, "ver": self.ver}
        if value is None:
            self.rows.pop((table, part, key), None)
            self.history.append({**row, "tombstone": True})
        else:
            self.rows[table, part, key] = row = {**row, "value": value}
            self.history.append(row)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.ver

    def _page(self, rows: list[dict], **more: object) -> dict:
        now_ms = asyncio.get_running_loop().time() * 1000
        return {"rows": rows, "ver": self.ver, "nowMs": now_ms, **more}

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        split = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(split.query).items()}
        if split.path == "/api/rows-get":
            await reply(writer, 200, self._get(query))
        elif split.path == "/api/rows-feed":
            await reply(writer, 200, await self._feed(query))
        elif split.path == "/api/rows-tx":
            status, body = self._transact(json.loads(request.body))
            await reply(writer, status, body)
        else:
            await reply(writer, 404, {})

    def _get(self, query: dict[str, str]) -> dict:
        part, first, end = (
            query.get("part", ""),
            query.get("from", ""),
            query.get("target"),
        )
        rows = [
            row
            for (table, row_part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and row_part == part
            and key >= first
            and (end is None or key < end)
        ]
        return self._page(rows[:500], truncated=len(rows) > 500)

    async def _feed(self, query: dict[str, str]) -> dict:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get("waitMs", "0")) / 1000
        while True:
            newest: dict[str, dict] = {}
            for row in self.history:
                if row["table"] == query["table"] and row["ver"] > int(query["after"]):
                    newest[row["part"] + "/" + row["key"]] = row
            if newest or loop.time() >= deadline:
                return self._page(sorted(newest.values(), key=lambda row: row["ver"]))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), deadline - loop.time())

    def _transact(self, call: dict) -> tuple[int, dict]:
        writes, removals = call.get("setKeys", []), call.get("remove", [])
        if any(row["table"] in FORBIDDEN_TABLES for row in [*writes, *removals]):
            return 403, {}
        current = []
        for expected in call.get("expectedRev", []):
            key = (expected["table"], expected["part"], expected["key"])
            if self.rows.get(key, {"ver": 0})["ver"] != expected["ver"]:
                current.append(self.rows.get(key, {**expected, "ver": 0}))
        if current:
            return 412, {"rows": current, "ver": self.ver}
        for row in writes:
            self._set(row["table"], row["part"], row["key"], row["value"])
        for row in removals:
            self._set(row["table"], row["part"], row["key"], None)
        return 200, {"ver": self.ver}
