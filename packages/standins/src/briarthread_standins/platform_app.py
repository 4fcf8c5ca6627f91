"""A stand-in for the platform over HTTP: table, instance list, fault injection."""

from dataclasses import dataclass, field

import anyio
from docopt import docopt

from briarthread_common.http.app import App, ResponseAborted, Route
from briarthread_common.http.call import Call
from briarthread_common.messages.instance import Instance
from briarthread_common.platform.table_messages import ReadAnswer, Transaction
from briarthread_standins.platform_state import PlatformMode, PlatformState
from briarthread_standins.run_standin import run_standin

USAGE = """
Stand in for the platform's table and instance list.

Usage:
  platform_app LISTEN
"""
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ModeChange:
    """A request to change the stand-in's mode; ``delay`` is in seconds."""

    mode: PlatformMode
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class ListChange:
    """A request to change the instance list."""

    put: list[Instance] = field(default_factory=list)
    remove: list[str] = field(default_factory=list)


class PlatformApp:
    """Serve the platform's interface, with faults on request."""

    def __init__(self) -> None:
        self.state = PlatformState()
        self.app = App(
            [
                Route("POST", "/v1/table/read", self._handle_read),
                Route("POST", "/v1/table/transactions", self._handle_transaction),
                Route("POST", "/v1/instances/since", self._handle_instances),
                Route("POST", "/standin/switch", self._handle_mode_change),
                Route("POST", "/standin/instances", self._handle_list_change),
                Route("GET", "/standin/counts", self._handle_counts),
            ]
        )

    async def _handle_read(self, call: Call) -> None:
        keys = await call.read_json(list[str], MAX_BODY_BYTES)
        await self._inject_fault()
        self.state.reads += len(keys)
        rows = [self.state.rows[key] for key in keys if key in self.state.rows]
        await call.reply_json(ReadAnswer(rows))

    async def _handle_transaction(self, call: Call) -> None:
        transaction = await call.read_json(Transaction, MAX_BODY_BYTES)
        await self._inject_fault()
        answer = self.state.commit(transaction)
        if self.state.mode is PlatformMode.LOST:
            raise ResponseAborted("fault injection: response lost after the write")
        await call.reply_json(answer)

    async def _handle_instances(self, call: Call) -> None:
        version = await call.read_json(int, MAX_BODY_BYTES)
        await self._inject_fault()
        await call.reply_json(self.state.instances.since(version))

    async def _handle_mode_change(self, call: Call) -> None:
        change = await call.read_json(ModeChange, MAX_BODY_BYTES)
        self.state.mode = change.mode
        self.state.delay = change.delay
        await call.reply_json(True)

    async def _handle_list_change(self, call: Call) -> None:
        change = await call.read_json(ListChange, MAX_BODY_BYTES)
        if change.put:
            self.state.put_instances(change.put)
        if change.remove:
            self.state.remove_instances(change.remove)
        await call.reply_json(self.state.instances.number)

    async def _handle_counts(self, call: Call) -> None:
        counts = {"reads": self.state.reads, "writes": self.state.writes}
        await call.reply_json(counts)

    async def _inject_fault(self) -> None:
        match self.state.mode:
            case PlatformMode.DOWN:
                raise ResponseAborted("fault injection: platform is down")
            case PlatformMode.SLOW:
                await anyio.sleep(self.state.delay)
            case _:
                return


def main() -> None:
    """Run the stand-in as a process."""
    arguments = docopt(USAGE)
    run_standin(PlatformApp().app, arguments["LISTEN"])


if __name__ == "__main__":
    main()
