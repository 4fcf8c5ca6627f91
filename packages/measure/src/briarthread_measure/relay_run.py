"""
Measure what entry and agent add to a request, beside a bare relay.

Usage:
  relay_run [--repeats=N]

Options:
  --repeats=N  How often each way is measured, in turn [default: 3].

The ways: the target alone, two bare relays before it, entry and agent before
it. Each is measured with one caller, for latency, and with 16, for the rate.
Streams of 200 tokens with 16 callers give the tokens a second.
"""

import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import msgspec
from docopt import docopt

from briarthread_common.utils.hashing import key_digest
from briarthread_measure.expert_moves import format_median_range, percentile
from briarthread_measure.process_usage import read_usage
from briarthread_standins.deployment import Deployment, wait_until

TEXT = """
[data_centre here]
[service cards]
kind = plain
data_centres = here
idempotent = yes
slots = 64
[service assistant]
kind = engine
data_centres = here
idempotent = yes
slots = 64
deadline = 60
[account caller]
keys = {digest}
home = here
rate = 1000000
concurrency = 1000
"""
KEY = "caller-key"
SERVICES = {"cards": "plain_service", "assistant": "stream_engine"}
RELAY_PORT = 18500
MANY = 16
REQUESTS = 400
TOKENS = 200


@dataclass(frozen=True, slots=True)
class Way:
    """Name a way to a target, where it begins and what stands on it."""

    name: str
    address: str
    path: str
    pids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Figures:
    """Hold latencies in ms, a rate, and processor ms a request of a way."""

    p50: float
    p99: float
    rate: float
    cpu: float
    failures: int


def send(way: Way, body: str, callers: int, requests: int) -> Figures:
    """Send a load down a way."""
    before = sum(read_usage(pid).cpu for pid in way.pids)
    command = [sys.executable, "-m", "briarthread_measure.load_client"]
    arguments = [way.address, way.path, KEY, body, str(callers), str(requests)]
    done = subprocess.run([*command, *arguments], check=True, capture_output=True)
    used = sum(read_usage(pid).cpu for pid in way.pids) - before
    result = msgspec.json.decode(done.stdout)
    latencies = result["latencies"]
    return Figures(
        percentile(latencies, 0.5) * 1000,
        percentile(latencies, 0.99) * 1000,
        len(latencies) / result["seconds"],
        used / len(latencies) * 1000,
        result["failures"],
    )


def start_relays(target: str) -> tuple[str, list[subprocess.Popen]]:
    """Start two bare relays in a row before a target."""
    handles = []
    for number in range(2):
        listen = f"127.0.0.1:{RELAY_PORT + number}"
        command = [sys.executable, "-m", "briarthread_measure.bare_relay"]
        handles.append(subprocess.Popen([*command, listen, target]))
        target = listen
    return target, handles


def show(way: Way, title: str, runs: list[Figures]) -> None:
    """Print a way's figures: median (least..largest) of the repeats."""
    p50 = format_median_range([run.p50 for run in runs], ".2f")
    p99 = format_median_range([run.p99 for run in runs], ".2f")
    rate = format_median_range([run.rate for run in runs], ".0f")
    cpu = format_median_range([run.cpu for run in runs], ".2f")
    failures = sum(run.failures for run in runs)
    print(
        f"{title:16} {way.name:17} p50 {p50} ms, p99 {p99} ms, {rate}/s, "
        f"{cpu} ms of processor a request, {failures} failed",
        flush=True,
    )


def measure(
    ways: list[Way], title: str, body: str, callers: int, requests: int, repeats: int
) -> None:
    """Measure the ways in turn, so that drift of the machine hits all."""
    runs: dict[str, list[Figures]] = {way.name: [] for way in ways}
    for _ in range(repeats):
        for way in ways:
            runs[way.name].append(send(way, body, callers, requests))
    for way in ways:
        show(way, title, runs[way.name])


def main() -> None:
    """Start everything, measure, stop everything."""
    repeats = int(docopt(__doc__)["--repeats"])
    with tempfile.TemporaryDirectory() as folder:
        text = Path(folder) / "text.ini"
        text.write_text(TEXT.format(digest=key_digest(KEY)), encoding="utf-8")
        deployment = Deployment(Path(folder), ["here"], SERVICES)
        handles: list[subprocess.Popen] = []
        try:
            deployment.start()
            deployment.apply(text)
            deployment.wait_ready()
            wait_until(lambda: targets_are_up(deployment), "targets")
            show_memory(deployment, "idle")
            for service, body, requests in (
                ("cards", "{}", REQUESTS),
                ("assistant", f'{{"tokens": {TOKENS}}}', MANY),
            ):
                ways, started = build_ways(deployment, service)
                handles.extend(started)
                if service == "cards":
                    measure(ways, "one caller", body, 1, requests, repeats)
                    measure(ways, "16 callers", body, MANY, 3 * requests, repeats)
                else:
                    measure(
                        ways, f"{TOKENS} tokens x 16", body, MANY, requests * 4, repeats
                    )
                for handle in started:
                    handle.terminate()
                    handle.wait()
            show_memory(deployment, "after the load")
        finally:
            deployment.stop()


def build_ways(
    deployment: Deployment, service: str
) -> tuple[list[Way], list[subprocess.Popen]]:
    """Return the three ways to a service's target."""
    name = f"{service}-here-0"
    target = deployment.standins[name]
    relay, handles = start_relays(target)
    wait_until(
        lambda: (
            deployment.get(relay, "/standin/runs") is not None
            if service == "cards"
            else deployment.get(relay, "/standin/batch")
        ),
        "relays",
    )
    entry = deployment.processes["entry-here-0"]
    agent = deployment.processes[name]
    pids = (entry.handle.pid, agent.handle.pid)
    return [
        Way("target alone", target, "/x", ()),
        Way("two bare relays", relay, "/x", tuple(h.pid for h in handles)),
        Way("entry and agent", entry.address, f"/v1/services/{service}/x", pids),
    ], handles


def targets_are_up(deployment: Deployment) -> bool:
    """Tell whether the entry sees its targets."""
    status = deployment.get(deployment.entry_address("here"), "/status")
    return len(status["targets"]) == len(SERVICES) and set(
        status["targets"].values()
    ) == {"usable"}


def show_memory(deployment: Deployment, when: str) -> None:
    """Print the resident memory of both binaries."""
    for name in ("entry-here-0", "cards-here-0", "assistant-here-0"):
        rss = read_usage(deployment.processes[name].handle.pid).rss
        print(f"resident {when}: {name} {rss / 1e6:.1f} MB", flush=True)


if __name__ == "__main__":
    main()
