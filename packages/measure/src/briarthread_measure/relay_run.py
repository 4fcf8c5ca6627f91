"""
Measure the overhead of entry and agent, compared with bare relays.

Usage:
  relay_run [--repeats=N]

Options:
  --repeats=N  How often each way is measured, in turn [default: 3].

The routes are the target alone, two bare relays before it, and entry and agent before
it. Each is measured with one caller for the latency and with 16 callers for the request
rate. Streams of 200 tokens with 16 callers give the tokens per second.
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
CALLERS = 16
REQUESTS = 400
TOKENS = 200


@dataclass(frozen=True, slots=True)
class MeasuredRoute:
    """Path of requests to a target: first address, URL path and relay processes."""

    name: str
    address: str
    path: str
    pids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Measurements:
    """Latencies in ms, requests per second, and CPU time per request in ms."""

    p50: float
    p99: float
    rate: float
    cpu: float
    failures: int


def send(route: MeasuredRoute, body: str, callers: int, requests: int) -> Measurements:
    """Send a load on a route."""
    cpu_before = sum(read_usage(pid).cpu for pid in route.pids)
    command = [sys.executable, "-m", "briarthread_measure.load_client"]
    arguments = [route.address, route.path, KEY, body, str(callers), str(requests)]
    completed = subprocess.run([*command, *arguments], check=True, capture_output=True)
    cpu_seconds = sum(read_usage(pid).cpu for pid in route.pids) - cpu_before
    result = msgspec.json.decode(completed.stdout)
    latencies = result["latencies"]
    return Measurements(
        percentile(latencies, 0.5) * 1000,
        percentile(latencies, 0.99) * 1000,
        len(latencies) / result["seconds"],
        cpu_seconds / len(latencies) * 1000,
        result["failures"],
    )


def start_relays(target: str) -> tuple[str, list[subprocess.Popen]]:
    """Start a chain of two bare relays before a target."""
    handles = []
    for number in range(2):
        listen = f"127.0.0.1:{RELAY_PORT + number}"
        command = [sys.executable, "-m", "briarthread_measure.bare_relay"]
        handles.append(subprocess.Popen([*command, listen, target]))
        target = listen
    return target, handles


def print_measurements(
    route: MeasuredRoute, title: str, runs: list[Measurements]
) -> None:
    """Print the measurements of a route: median (min..max) of the repeats."""
    p50 = format_median_range([run.p50 for run in runs], ".2f")
    p99 = format_median_range([run.p99 for run in runs], ".2f")
    rate = format_median_range([run.rate for run in runs], ".0f")
    cpu = format_median_range([run.cpu for run in runs], ".2f")
    failures = sum(run.failures for run in runs)
    print(
        f"{title:16} {route.name:17} p50 {p50} ms, p99 {p99} ms, {rate}/s, "
        f"{cpu} ms of processor a request, {failures} failed",
        flush=True,
    )


def measure(
    routes: list[MeasuredRoute],
    title: str,
    body: str,
    callers: int,
    requests: int,
    repeats: int,
) -> None:
    """Measure the routes in turn, so that drift of the machine affects all alike."""
    runs: dict[str, list[Measurements]] = {route.name: [] for route in routes}
    for _ in range(repeats):
        for route in routes:
            runs[route.name].append(send(route, body, callers, requests))
    for route in routes:
        print_measurements(route, title, runs[route.name])


def main() -> None:
    """Start the deployment, measure, and stop it."""
    repeats = int(docopt(__doc__)["--repeats"])
    with tempfile.TemporaryDirectory() as folder:
        text = Path(folder) / "text.ini"
        text.write_text(TEXT.format(digest=key_digest(KEY)), encoding="utf-8")
        deployment = Deployment(Path(folder), ["here"], SERVICES)
        handles: list[subprocess.Popen] = []
        try:
            deployment.start()
            deployment.apply(text)
            deployment.wait_until_ready()
            wait_until(lambda: targets_are_usable(deployment), "targets")
            print_memory(deployment, "idle")
            for service, body, requests in (
                ("cards", "{}", REQUESTS),
                ("assistant", f'{{"tokens": {TOKENS}}}', CALLERS),
            ):
                routes, started = build_routes(deployment, service)
                handles.extend(started)
                if service == "cards":
                    measure(routes, "one caller", body, 1, requests, repeats)
                    measure(routes, "16 callers", body, CALLERS, 3 * requests, repeats)
                else:
                    measure(
                        routes,
                        f"{TOKENS} tokens x 16",
                        body,
                        CALLERS,
                        requests * 4,
                        repeats,
                    )
                for handle in started:
                    handle.terminate()
                    handle.wait()
            print_memory(deployment, "after the load")
        finally:
            deployment.stop()


def build_routes(
    deployment: Deployment, service: str
) -> tuple[list[MeasuredRoute], list[subprocess.Popen]]:
    """Return the three routes to a service's target, and the started relays."""
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
        MeasuredRoute("target alone", target, "/x", ()),
        MeasuredRoute("two bare relays", relay, "/x", tuple(h.pid for h in handles)),
        MeasuredRoute(
            "entry and agent", entry.address, f"/v1/services/{service}/x", pids
        ),
    ], handles


def targets_are_usable(deployment: Deployment) -> bool:
    """Return whether the entry reports all targets as usable."""
    status = deployment.get(deployment.entry_address("here"), "/status")
    return len(status["targets"]) == len(SERVICES) and set(
        status["targets"].values()
    ) == {"usable"}


def print_memory(deployment: Deployment, when: str) -> None:
    """Print the resident memory of the entry and the agents."""
    for name in ("entry-here-0", "cards-here-0", "assistant-here-0"):
        rss = read_usage(deployment.processes[name].handle.pid).rss
        print(f"resident {when}: {name} {rss / 1e6:.1f} MB", flush=True)


if __name__ == "__main__":
    main()
