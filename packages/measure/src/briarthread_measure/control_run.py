"""
Measure the control overhead of a real entry at full size, and of its parts.

Usage:
  control_run [--seconds=N] [PART]

Options:
  --seconds=N  How long each run is watched [default: 20].

PART is workers, texts, exchanges, agents or full; all of them by default.

Each run starts the platform stand-in, a farm of agents and one entry that knows 490
entries, 1,300 workers, 4,200 accounts, 31 services and their shares. All traffic on
loopback belongs to the entry, so the counter of the interface gives its bytes with all
headers.
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
from briarthread_standins.deployment import installed_command, wait_until

PLATFORM = "127.0.0.1:19000"
ENTRY = "127.0.0.1:19001"
FARM_PORT = 19100
STABILISATION_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Load:
    """Sizes of a run, and rates of its events per second."""

    agents: int = AGENTS
    accounts: int = ACCOUNTS
    load_changes: float = 1.0
    text_changes: float = 0.0
    exchanges: float = 0.25
    polls_platform: bool = False


@dataclass(frozen=True, slots=True)
class Cost:
    """CPU cores, resident bytes, network bytes per second and reads per second."""

    cores: float
    rss: int
    bytes_per_second: float
    reads_per_second: float


def post(address: str, path: str, message: object) -> object:
    """Send JSON and return the decoded response."""
    body = msgspec.json.encode(message)
    response = httpcore.request("POST", f"http://{address}{path}", content=body)
    return msgspec.json.decode(response.content)


def entry_name(polls_platform: bool) -> str:
    """Return the name of an entry that polls the platform, or of one that does not."""
    names = [f"entry-{n}" for n in range(ENTRIES) if data_centre_name(n) == "dc-0"]
    order = rendezvous_order("poll", names)
    return order[0] if polls_platform else order[-1]


def fill_platform(load: Load) -> None:
    """Write text, shares and instances to the platform stand-in."""
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
        if row["name"] == entry_name(load.polls_platform):
            row["address"] = ENTRY
    post(PLATFORM, "/standin/instances", {"put": rows})


def farm_size(load: Load) -> int:
    """Return the number of listed agents that the farm really serves."""
    return min(load.agents // 8, 163)


def change_text(number: int) -> None:
    """Send the entry a patch of one account, as an accepted text causes it."""
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


def send_events(load: Load, seconds: float) -> None:
    """Send text changes and peers' exchanges for some seconds."""
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
    """Start all processes, measure the entry for some seconds, and stop them."""
    with tempfile.TemporaryDirectory() as folder:
        handles = [start_standin("platform_app", PLATFORM)]
        wait_until(lambda: get_counts(), "platform")
        fill_platform(load)
        handles.append(start_farm(load))
        try:
            entry = start_entry(Path(folder), load)
            handles.append(entry)
            wait_until(entry_is_ready, "entry")
            time.sleep(STABILISATION_SECONDS)
            return measure(entry.pid, load, seconds)
        finally:
            for handle in reversed(handles):
                handle.kill()
                handle.wait()


def measure(pid: int, load: Load, seconds: float) -> Cost:
    """Return the costs of a process over some seconds under load."""
    reads_before = get_counts()["reads"]
    before, bytes_before = read_usage(pid), loopback_bytes()
    started = time.monotonic()
    send_events(load, seconds)
    elapsed = time.monotonic() - started
    after = read_usage(pid)
    return Cost(
        (after.cpu - before.cpu) / elapsed,
        after.rss,
        (loopback_bytes() - bytes_before) / elapsed,
        (get_counts()["reads"] - reads_before) / elapsed,
    )


def get_counts() -> dict[str, int]:
    """Return the call counts of the platform stand-in."""
    response = httpcore.request("GET", f"http://{PLATFORM}/standin/counts")
    return msgspec.json.decode(response.content)


def entry_is_ready() -> bool:
    """Return whether the entry is ready."""
    return httpcore.request("GET", f"http://{ENTRY}/readyz").status == 200


def start_standin(module: str, address: str) -> subprocess.Popen:
    """Start a stand-in."""
    return start_module(f"briarthread_standins.{module}", address)


def start_farm(load: Load) -> subprocess.Popen:
    """Start the farm of agents."""
    return start_module(
        "briarthread_measure.agent_farm",
        str(FARM_PORT),
        str(farm_size(load)),
        str(load.load_changes),
    )


def start_module(module: str, *arguments: str) -> subprocess.Popen:
    """Start a module and discard its output."""
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def start_entry(folder: Path, load: Load) -> subprocess.Popen:
    """Start the entry under test."""
    settings = folder / "entry.ini"
    settings.write_text(
        f"[instance]\nname = {entry_name(load.polls_platform)}\ndata_centre = dc-0\n"
        f"listen = {ENTRY}\n[platform]\naddresses = {PLATFORM}\n"
        "[logs]\nlevel = ERROR\n",
        encoding="utf-8",
    )
    return subprocess.Popen([*installed_command("briarthread"), "serve", str(settings)])


def print_cost(name: str, cost: Cost) -> None:
    """Print the costs of one run."""
    print(
        f"{name:34} {cost.cores * 100:6.2f} % core {cost.rss / 1e6:6.1f} MB "
        f"{cost.bytes_per_second:8.0f} B/s {cost.reads_per_second * 3600:8.0f} reads/h",
        flush=True,
    )


def print_slopes(name: str, unit: str, sizes: list[float], costs: list[Cost]) -> None:
    """Print the slopes of CPU and network use over some sizes."""
    core = fit_line(sizes, [cost.cores for cost in costs])
    wire = fit_line(sizes, [cost.bytes_per_second for cost in costs])
    print(
        f"slope {name}: {core.slope * 1e6:.0f} us core and {wire.slope:.0f} B "
        f"{unit}; residual {core.residual:.2f} and {wire.residual:.2f}",
        flush=True,
    )


def run_workers(seconds: float) -> None:
    """Measure with different numbers of listed workers."""
    costs = []
    agents = [0, 240, 480, 720, AGENTS]
    for count in agents:
        costs.append(run(Load(agents=count), seconds))
        print_cost(f"{count} workers listed", costs[-1])
    print_slopes("workers", "a worker listed", [float(n) for n in agents], costs)


def run_texts(seconds: float) -> None:
    """Measure with different rates of text changes."""
    rates = [0.0, 1.0, 2.0, 4.0]
    costs = [run(Load(agents=0, text_changes=rate), seconds) for rate in rates]
    for rate, cost in zip(rates, costs, strict=True):
        print_cost(f"{rate:g} text changes a second", cost)
    print_slopes("text changes", "a change", rates, costs)


def run_exchanges(seconds: float) -> None:
    """Measure with different rates of peers' exchanges."""
    rates = [0.0, 2.0, 4.0, 8.0]
    costs = [run(Load(agents=0, exchanges=rate), seconds) for rate in rates]
    for rate, cost in zip(rates, costs, strict=True):
        print_cost(f"{rate:g} exchanges a second", cost)
    print_slopes("exchanges", "an exchange", rates, costs)


def run_agents(seconds: float) -> None:
    """Measure an agent at full size with different numbers of watching entries."""
    counts = [0, 8, 16, 32, 64]
    costs = [run_agent(count, seconds) for count in counts]
    for count, cost in zip(counts, costs, strict=True):
        print_cost(f"agent, {count} entries watch", cost)
    print_slopes("watchers", "a watcher", [float(n) for n in counts], costs)


def run_agent(watchers: int, seconds: float) -> Cost:
    """Start an agent at the entry's address and measure it for some seconds."""
    load = Load()
    with tempfile.TemporaryDirectory() as folder:
        handles = [start_standin("platform_app", PLATFORM)]
        wait_until(get_counts, "platform")
        fill_platform(load)
        handles.append(start_farm(load))
        try:
            agent = start_agent(Path(folder))
            handles.append(agent)
            wait_until(entry_is_ready, "agent")
            handles.append(start_watchers(watchers))
            time.sleep(STABILISATION_SECONDS)
            return measure(agent.pid, load, seconds)
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
    return subprocess.Popen([*installed_command("briarthread-agent"), str(settings)])


def start_watchers(count: int) -> subprocess.Popen:
    """Start the load streams of the entries that watch the agent."""
    command = [sys.executable, "-m", "briarthread_measure.load_watchers"]
    interval = str(report_interval(MAX_WATCHED))
    return subprocess.Popen([*command, ENTRY, str(count), interval])


def run_full(seconds: float) -> None:
    """Measure the entry at full size, with and without polling the platform."""
    print_cost("full size, not on poll duty", run(Load(text_changes=0.066), seconds))
    print_cost(
        "full size, on poll duty",
        run(Load(text_changes=0.066, polls_platform=True), seconds),
    )


def main() -> None:
    """Run the requested parts and print their results."""
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
