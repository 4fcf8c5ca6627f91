"""A simulated deployment of entries with direct targets on a fake platform."""

import random
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.channel import Channel, ChannelRequest
from briarthread_common.spread.replication_options import ReplicationOptions
from briarthread_common.utils.clock import Clock
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_entry.direct.settings import DirectSettings
from briarthread_platform.adapter import ADAPTER
from briarthread_standins.direct_config import DIARY
from briarthread_standins.direct_worker import DirectWorker
from briarthread_standins.fake_network import FakeNetwork
from briarthread_standins.fake_platform_store import FakePlatformStore

STORE_ADDRESS = "10.200.0.1:80"
DATA_CENTRES = ("palermo", "catania")
START_SECONDS = 2.0
CLIENT_ADDRESS = "10.250.0.1:1"
RETRY_ALLOWANCE = RetryAllowance(0.2, 20.0, 10.0)


@dataclass(frozen=True, slots=True)
class DirectResponse:
    """
    A response as a caller received it.

    ``complete`` is false if the connection broke before the end of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the events in a streamed body."""
        lines = self.body.decode().split("\n")
        return [int(line[3:]) for line in lines if line.startswith("id:")]


@dataclass
class DirectWorld:
    """Run a platform store, workers and entries on one fake network."""

    tasks: TaskGroup
    seed: int = 1
    memory_mb: float = 0.0
    entries: dict[str, DirectEntry] = field(default_factory=dict)
    workers: dict[str, DirectWorker] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    request_count: int = 0
    scopes: dict[str, anyio.CancelScope] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.network = FakeNetwork(self.tasks)
        self.store = FakePlatformStore()
        self.network.listen(STORE_ADDRESS, "store", self.store.app)

    def add_worker(
        self, name: str, service: str, data_centre: str = "palermo", listed: bool = True
    ) -> DirectWorker:
        """Start a worker at a new address and register it if ``listed`` is set."""
        worker = DirectWorker(name)
        number = len(self.workers) + 1
        address = f"10.9.0.{number}:80"
        self.workers[name] = worker
        self.addresses[name] = address
        self.network.listen(address, data_centre, worker.app)
        if listed:
            self.register_worker(name, service, data_centre)
        return worker

    def register_worker(
        self,
        name: str,
        service: str,
        data_centre: str = "palermo",
        state: str = "ready",
        cold_seconds: float = 0.0,
    ) -> None:
        """Write a worker's row into the ``servers`` table of the store."""
        row = self.build_row(name, service=service, zone=data_centre, state=state)
        if cold_seconds:
            row["coldLeftMs"] = cold_seconds * 1000
        self.store.put("servers", name, row)

    def build_row(self, name: str, **changes: object) -> dict[str, object]:
        """Return a worker's row; ``changes`` are fields that differ from the usual."""
        row = {
            "service": DIARY,
            "address": self.addresses[name],
            "zone": "palermo",
            "slots": 6,
            "state": "ready",
        }
        return {**row, **changes}

    def add_entry(self, name: str, data_centre: str = "palermo") -> DirectEntry:
        """Start an entry; one of the same name restarts at its former addresses."""
        names = [*self.entries, name]
        number = names.index(name) + 1
        peer_address, callers_address = f"10.1.0.{number}:9", f"10.1.0.{number}:8"
        settings = DirectSettings(
            name=name,
            data_centre=data_centre,
            listen=peer_address,
            callers_listen=callers_address,
            ready_listen=f"10.1.0.{number}:7",
            drain_notice=1.0,
            drain_timeout=3.0,
            adapter="briarthread_platform.adapter",
            store=STORE_ADDRESS,
            allowance=RETRY_ALLOWANCE,
            spread=ReplicationOptions(name, data_centre, ("10.1.0.1:9",), 4.0, 2.0),
            log_level="INFO",
            log_json=False,
            memory_mb=self.memory_mb,
        )
        channel = self.network.channel(peer_address, data_centre)
        entry = DirectEntry(
            settings,
            ADAPTER,
            channel,
            channel,
            channel,
            Clock(),
            random.Random(self.seed + number),
        )
        self.network.listen(peer_address, data_centre, entry.peer_app)
        self.network.listen(callers_address, data_centre, entry.app)
        self.entries[name] = entry
        self.tasks.start_soon(self._run_entry, name, entry)
        return entry

    def kill_entry(self, name: str) -> None:
        """Kill an entry without draining it; its requests are cut off."""
        settings = self.entries[name].settings
        for address in (settings.listen, settings.callers_listen):
            self.network.close(address)
        self.scopes.pop(name).cancel()

    async def _run_entry(self, name: str, entry: DirectEntry) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[name] = scope
            async with anyio.create_task_group() as tasks:
                entry.start(tasks)

    async def call(
        self,
        entry: str,
        path: str,
        headers: dict[str, str] | None = None,
        method: str = "POST",
        body: bytes | None = b"x",
        host: str = "salon.example",
        client_timeout: float = 20.0,
    ) -> DirectResponse:
        """
        Send a request as a caller and return the response.

        A caller that disconnects after ``client_timeout`` seconds gets status 0.
        """
        self.request_count += 1
        fields = {
            "host": host,
            "x-request-id": f"request-{self.request_count}",
            "x-credential": "key-1",
            "x-deadline-ms": "8000",
            **(headers or {}),
        }
        if body is not None:
            fields["content-length"] = str(len(body))
        callers_address = self.entries[entry].settings.callers_listen
        channel = self.network.channel(CLIENT_ADDRESS, "clients")
        request = ChannelRequest(
            method, callers_address, path, tuple(fields.items()), body
        )
        with anyio.move_on_after(client_timeout):
            return await _read_response(channel, request)
        return DirectResponse(0, {}, b"", complete=False)


async def _read_response(channel: Channel, request: ChannelRequest) -> DirectResponse:
    chunks: list[bytes] = []
    async with channel.stream(request) as response:
        try:
            async for chunk in response.body:
                chunks.append(chunk)
        except ChannelError:
            return DirectResponse(
                response.status,
                dict(response.headers),
                b"".join(chunks),
                complete=False,
            )
        return DirectResponse(response.status, dict(response.headers), b"".join(chunks))
