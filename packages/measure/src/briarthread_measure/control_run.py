"""
Measure what control costs a real entry at full size, and by its parts.

Usage:
  control_run [--seconds=N] [PART]

Options:
  --seconds=N  How long each run is watched [default: 20].

PART is workers, texts, exchanges, agents or full; all of them by default.

Each run starts the platform stand-in, a farm of agents and one entry that
knows 490 entries, 1,300 workers, 4,200 accounts, 31 services and their
shares. All traffic on loopback is the entry's own, so the interface's counter
gives its bytes with all headers.
"""

import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import httpcore
import msgspec
from docopt import docopt

from briarthread_common.platform.table_messages import RowWrite, Transaction
from briarthread_common.utils.hashing import rendezvous_order
from briarthread_entry.routing.load_watcher import report_interval
from briarthread_entry.routing.target_table import MAX_WATCHED
from briarthread_measure.full_size import (
    ACCOUNTS,
    AGENTS,
    ENTRIES,
    SERVICES,
    account_section,
    data_centre_name,
    instance_items,
    share_items,
    snapshot_patch,
    text_sections,
)
from briarthread_measure.line_fit import fit_line
from briarthread_measure.process_usage import loopback_bytes, read_usage
from briarthread_standins.deployment import program, wait_until

PLATFORM = "127.0.0.1:19000"
ENTRY = "127.0.0.1:19001"
FARM_PORT = 19100
SETTLE_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Load:
    """Describe a run: sizes, and how often things happen a second."""

    agents: int = AGENTS
    accounts: int = ACCOUNTS
    load_changes: float = 1.0
    text_changes: float = 0.0
    exchanges: float = 0.25
    on_duty: bool = False


@dataclass(frozen=True, slots=True)
class Cost:
    """Hold what the entry used: parts of a core, bytes, bytes a second."""

    core: float
    rss: int
    wire: float
    reads: float


def post(address: str, path: str, message: object) -> object:
    """Send JSON and return the decoded answer."""
    body = msgspec.json.encode(message)
    response = httpcore.request("POST", f"http://{address}{path}", content=body)
    return msgspec.json.decode(response.content)


def entry_name(on_duty: bool) -> str:
    """Return the name of an entry that polls the platform, or does not."""
    names = [f"entry-{n}" for n in range(ENTRIES) if data_centre_name(n) == "dc-0"]
    order = rendezvous_order("poll", names)
    return order[0] if on_duty else order[-1]


def fill_platform(load: Load) -> None:
    """Put text, shares and instances into the platform stand-in."""
    feeds = {
        "text": text_sections(load.accounts),
        "shares": share_items(SERVICES),
    }
    for feed, items in feeds.items():
        raw = msgspec.json.encode(snapshot_patch(feed, items)).decode()
        writes = [
            RowWrite(f"feeds/{feed}/head", "1"),
            RowWrite(f"feeds/{feed}/whole", raw),
        ]
        post(PLATFORM, "/v1/table/transactions", Transaction([], writes))
    addresses = [f"127.0.0.1:{FARM_PORT + n}" for n in range(max(farm_size(load), 1))]
    items = instance_items(ENTRIES, load.agents, addresses)
    rows = [msgspec.json.decode(raw) for raw in items.values()]
    for row in rows:
        if row["name"] == entry_name(load.on_duty):
            row["address"] = ENTRY
    post(PLATFORM, "/standin/instances", {"put": rows})


def farm_size(load: Load) -> int:
    """Return how many agents of the list really answer."""
    return min(load.agents // 8, 163)


def change_text(number: int) -> None:
    """Change one account, as an accepted text does, and tell the entry."""
    header = f"account client-{number % ACCOUNTS}"
    section = account_section(number % ACCOUNTS, 100 + number)
    patch = {
        "feed": "text",
        "base": number,
        "number": number + 1,
        "changes": {header: section},
    }
    versions = {"text": number + 1, "instances": 1, "shares": 1}
    post(ENTRY, "/peer/v1/exchange", {"versions": versions, "patches": [patch]})


def drive(load: Load, seconds: float) -> None:
    """Send the text changes and peers' exchanges of a while."""
    end = time.monotonic() + seconds
    changes = 0
    versions = {"text": 1, "instances": 1, "shares": 1}
    next_change = next_exchange = time.monotonic()
    while time.monotonic() < end:
        now = time.monotonic()
        if load.text_changes and now >= next_change:
            changes += 1
            change_text(changes)
            versions["text"] = changes + 1
            next_change += 1 / load.text_changes
        if load.exchanges and now >= next_exchange:
            post(ENTRY, "/peer/v1/exchange", {"versions": versions})
            next_exchange += 1 / load.exchanges
        time.sleep(0.01)


def run(load: Load, seconds: float) -> Cost:
    """Start everything, watch the entry for a while, stop everything."""
    with tempfile.TemporaryDirectory() as folder:
        handles = [start("platform_app", PLATFORM)]
        wait_until(lambda: get_counts(), "platform")
        fill_platform(load)
        handles.append(start_farm(load))
        try:
            entry = start_entry(Path(folder), load)
            handles.append(entry)
            wait_until(entry_is_ready, "entry")
            time.sleep(SETTLE_SECONDS)
            return watch(entry.pid, load, seconds)
        finally:
            for handle in reversed(handles):
                handle.kill()
                handle.wait()


def watch(pid: int, load: Load, seconds: float) -> Cost:
    """Return the entry's costs over a while."""
    reads = get_counts()["reads"]
    before, wire = read_usage(pid), loopback_bytes()
    started = time.monotonic()
    drive(load, seconds)
    took = time.monotonic() - started
    after = read_usage(pid)
    return Cost(
        (after.cpu - before.cpu) / took,
        after.rss,
        (loopback_bytes() - wire) / took,
        (get_counts()["reads"] - reads) / took,
    )


def get_counts() -> dict[str, int]:
    """Return the counts of the platform stand-in."""
    response = httpcore.request("GET", f"http://{PLATFORM}/standin/counts")
    return msgspec.json.decode(response.content)


def entry_is_ready() -> bool:
    """Tell whether the entry is ready."""
    return httpcore.request("GET", f"http://{ENTRY}/readyz").status == 200


def start(module: str, address: str) -> subprocess.Popen:
    """Start a stand-in."""
    return run_quietly(f"briarthread_standins.{module}", address)


def start_farm(load: Load) -> subprocess.Popen:
    """Start the farm of agents."""
    return run_quietly(
        "briarthread_measure.agent_farm",
        str(FARM_PORT),
        str(farm_size(load)),
        str(load.load_changes),
    )


def run_quietly(module: str, *arguments: str) -> subprocess.Popen:
    """Start a module whose output nobody needs."""
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def start_entry(folder: Path, load: Load) -> subprocess.Popen:
    """Start the entry under test."""
    settings = folder / "entry.ini"
    settings.write_text(
        f"[instance]\nname = {entry_name(load.on_duty)}\ndata_centre = dc-0\n"
        f"listen = {ENTRY}\n[platform]\naddresses = {PLATFORM}\n"
        "[logs]\nlevel = ERROR\n",
        encoding="utf-8",
    )
    return subprocess.Popen([*program("briarthread"), "serve", str(settings)])


def show(name: str, cost: Cost) -> None:
    """Print one run."""
    print(
        f"{name:34} {cost.core * 100:6.2f} % core {cost.rss / 1e6:6.1f} MB "
        f"{cost.wire:8.0f} B/s {cost.reads * 3600:8.0f} reads/h",
        flush=True,
    )


def slope(name: str, unit: str, sizes: list[float], costs: list[Cost]) -> None:
    """Print the slopes of core and wire over some sizes."""
    core = fit_line(sizes, [cost.core for cost in costs])
    wire = fit_line(sizes, [cost.wire for cost in costs])
    print(
        f"slope {name}: {core.slope * 1e6:.0f} us core and {wire.slope:.0f} B "
        f"{unit}; residual {core.residual:.2f} and {wire.residual:.2f}",
        flush=True,
    )


def run_workers(seconds: float) -> None:
    """Measure by the number of workers on the list."""
    costs = []
    agents = [0, 240, 480, 720, AGENTS]
    for count in agents:
        costs.append(run(Load(agents=count), seconds))
        show(f"{count} workers listed", costs[-1])
    slope("workers", "a worker listed", [float(n) for n in agents], costs)


def run_texts(seconds: float) -> None:
    """Measure by the rate of text changes."""
    rates = [0.0, 1.0, 2.0, 4.0]
    costs = [run(Load(agents=0, text_changes=rate), seconds) for rate in rates]
    for rate, cost in zip(rates, costs, strict=True):
        show(f"{rate:g} text changes a second", cost)
    slope("text changes", "a change", rates, costs)


def run_exchanges(seconds: float) -> None:
    """Measure by the rate of peers' exchanges."""
    rates = [0.0, 2.0, 4.0, 8.0]
    costs = [run(Load(agents=0, exchanges=rate), seconds) for rate in rates]
    for rate, cost in zip(rates, costs, strict=True):
        show(f"{rate:g} exchanges a second", cost)
    slope("exchanges", "an exchange", rates, costs)


def run_agents(seconds: float) -> None:
    """Measure an agent at full size by the number of entries that watch it."""
    counts = [0, 8, 16, 32, 64]
    costs = [run_agent(count, seconds) for count in counts]
    for count, cost in zip(counts, costs, strict=True):
        show(f"agent, {count} entries watch", cost)
    slope("watchers", "a watcher", [float(n) for n in counts], costs)


def run_agent(watchers: int, seconds: float) -> Cost:
    """Start an agent at the address of the entry and watch it for a while."""
    load = Load()
    with tempfile.TemporaryDirectory() as folder:
        handles = [start("platform_app", PLATFORM)]
        wait_until(get_counts, "platform")
        fill_platform(load)
        handles.append(start_farm(load))
        try:
            agent = start_agent(Path(folder))
            handles.append(agent)
            wait_until(entry_is_ready, "agent")
            handles.append(start_watchers(watchers))
            time.sleep(SETTLE_SECONDS)
            return watch(agent.pid, load, seconds)
        finally:
            for handle in reversed(handles):
                handle.kill()
                handle.wait()


def start_agent(folder: Path) -> subprocess.Popen:
    """Start the agent under test."""
    settings = folder / "agent.ini"
    settings.write_text(
        f"[instance]\nname = worker-0\ndata_centre = dc-0\nservice = model-0\n"
        f"listen = {ENTRY}\n[platform]\naddresses = {PLATFORM}\n"
        f"[target]\naddress = 127.0.0.1:9\n[peers]\nseeds = 127.0.0.1:{FARM_PORT}\n"
        "[logs]\nlevel = ERROR\n",
        encoding="utf-8",
    )
    return subprocess.Popen([*program("briarthread-agent"), str(settings)])


def start_watchers(count: int) -> subprocess.Popen:
    """Start the streams of the entries that watch the agent."""
    command = [sys.executable, "-m", "briarthread_measure.load_watchers"]
    every = str(report_interval(MAX_WATCHED))
    return subprocess.Popen([*command, ENTRY, str(count), every])


def run_full(seconds: float) -> None:
    """Measure all of it at full size."""
    show("full size, not on poll duty", run(Load(text_changes=0.066), seconds))
    show(
        "full size, on poll duty", run(Load(text_changes=0.066, on_duty=True), seconds)
    )


def main() -> None:
    """Run all and print the table."""
    arguments = docopt(__doc__)
    seconds = float(arguments["--seconds"])
    parts = {
        "workers": run_workers,
        "texts": run_texts,
        "exchanges": run_exchanges,
        "agents": run_agents,
        "full": run_full,
    }
    for name, run_part in parts.items():
        if arguments["PART"] in (None, name):
            run_part(seconds)


if __name__ == "__main__":
    main()
