"""
Run a deployment of separate processes and kill, freeze and stop some of them.

Usage:
  run_faults

It prints one line per check and exits with 1 if a check failed. It is run outside
CI, because it takes real time.
"""

import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import httpcore
from docopt import docopt

from briarthread_standins.deployment import Deployment

TEXT = Path(__file__).parents[2] / "examples" / "caruso.ini"
DATA_CENTRES = ["palermo", "catania", "messina"]
ACCOUNT_KEY = "salon-3"
HOME_DATA_CENTRE = "palermo"
SHARES = 6
FREEZE_SECONDS = 3.0
OK = 200


@dataclass
class Load:
    """Send bookings from a thread until stopped, and record the responses."""

    deployment: Deployment
    entries: list[str]
    prefix: str
    answers: dict[str, httpcore.Response] = field(default_factory=dict)
    stopping: threading.Event = field(default_factory=threading.Event)

    def run(self) -> None:
        """Send each booking with a new key, through the entries in turn."""
        number = 0
        while not self.stopping.is_set():
            body = f"{self.prefix}-{number}"
            entry = self.entries[number % len(self.entries)]
            self.answers[body] = book(self.deployment, entry, body)
            number += 1


def book(deployment: Deployment, entry: str, body: str) -> httpcore.Response:
    """Send a booking with a key that equals the body."""
    headers = {"authorization": f"Bearer {ACCOUNT_KEY}", "idempotency-key": body}
    address = deployment.entry_address(entry)
    url = f"http://{address}/v1/services/diary/bookings"
    return httpcore.request("POST", url, headers=headers, content=body.encode())


def outcome(response: httpcore.Response) -> str:
    """Return the outcome header of a failed response, empty if it has none."""
    return dict(response.headers).get(b"briarthread-outcome", b"").decode()


def runs(deployment: Deployment) -> Counter[str]:
    """Return how often each body ran over all diary targets."""
    total: Counter[str] = Counter()
    for name, address in deployment.standins.items():
        if name.startswith("diary-"):
            total.update(deployment.get(address, "/standin/runs"))
    return total


def holder_of(deployment: Deployment, body: str) -> str:
    """Return the name of the agent whose target ran a body."""
    for name, address in deployment.standins.items():
        if name.startswith("diary-") and body in deployment.get(
            address, "/standin/runs"
        ):
            return name
    raise LookupError(body)


def restart_agent(deployment: Deployment, name: str) -> None:
    """Restart the agent of a target."""
    _, data_centre, agent_number = name.rsplit("-", 2)
    deployment.start_target(data_centre, "diary", "plain_service", int(agent_number))
    deployment.wait_until_ready()


def run_under_load(deployment: Deployment, prefix: str, fault: object) -> Load:
    """Cause a fault while bookings are sent, and return the load with its responses."""
    load = Load(deployment, DATA_CENTRES, prefix)
    thread = threading.Thread(target=load.run)
    thread.start()
    time.sleep(0.5)
    fault()
    time.sleep(0.5)
    load.stopping.set()
    thread.join()
    return load


def check_load(deployment: Deployment, name: str, load: Load) -> bool:
    """Check the responses of a load against the bookings that ran."""
    counts = runs(deployment)
    repeated_runs = [body for body in load.answers if counts[body] > 1]
    false_not_run = [
        body
        for body, answer in load.answers.items()
        if outcome(answer) == "not-run" and counts[body]
    ]
    unserved = [b for b, a in load.answers.items() if a.status == OK and not counts[b]]
    statuses = Counter(answer.status for answer in load.answers.values())
    passed = not repeated_runs and not false_not_run and not unserved
    print(
        f"{'ok' if passed else 'FAILED'}: {name}: {dict(statuses)}, doubles "
        f"{len(repeated_runs)}, false not-run {len(false_not_run)}",
        flush=True,
    )
    return passed


def kill_and_replace(deployment: Deployment) -> bool:
    """Kill a holder, replace it and repeat the request through another entry."""
    book(deployment, HOME_DATA_CENTRE, "first")
    name = holder_of(deployment, "first")
    deployment.processes[name].handle.kill()
    deployment.processes[name].handle.wait()
    restart_agent(deployment, name)
    repeated = book(deployment, "messina", "first")
    passed = outcome(repeated) == "unknown" and runs(deployment)["first"] == 1
    print(
        f"{'ok' if passed else 'FAILED'}: killed holder: {repeated.status}", flush=True
    )
    return passed


def freeze_holder(deployment: Deployment) -> bool:
    """Freeze an agent of the home data centre under load."""
    handle = deployment.processes[f"diary-{HOME_DATA_CENTRE}-0"].handle

    def fault() -> None:
        handle.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_SECONDS)
        handle.send_signal(signal.SIGCONT)
        time.sleep(FREEZE_SECONDS)

    return check_load(
        deployment, "frozen agent", run_under_load(deployment, "f", fault)
    )


def kill_under_load(deployment: Deployment) -> bool:
    """Kill an agent under load and replace it."""

    def fault() -> None:
        handle = deployment.processes[f"diary-{HOME_DATA_CENTRE}-1"].handle
        handle.kill()
        handle.wait()
        restart_agent(deployment, f"diary-{HOME_DATA_CENTRE}-1")

    return check_load(
        deployment, "killed agent", run_under_load(deployment, "k", fault)
    )


def restart_in_turn(deployment: Deployment) -> bool:
    """Restart the agents of a data centre one by one under load."""

    def fault() -> None:
        for agent_number in range(2):
            name = f"diary-catania-{agent_number}"
            handle = deployment.processes[name].handle
            handle.terminate()
            handle.wait()
            restart_agent(deployment, name)

    load = run_under_load(deployment, "r", fault)
    passed = check_load(deployment, "planned stops", load)
    failed = [a.status for a in load.answers.values() if a.status != OK]
    quarantined = [a for a in load.answers.values() if outcome(a) == "unknown"]
    verdict = "FAILED" if failed else "ok"
    print(
        f"{verdict}: planned stops: {len(failed)} failed, "
        f"{len(quarantined)} of them unknown"
    )
    return passed and not failed


def main() -> int:
    """Run all checks and return the exit code."""
    docopt(__doc__)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(
            Path(folder), DATA_CENTRES, {"diary": "plain_service"}, targets=2
        )
        try:
            deployment.start()
            text = Path(folder) / "text.ini"
            raw = TEXT.read_text(encoding="utf-8")
            text.write_text(raw.replace("depends_on = diary\n", ""), encoding="utf-8")
            deployment.apply(text)
            deployment.wait_until_ready()
            deployment.wait_for_shares(["diary"], SHARES)
            checks = [restart_in_turn, kill_and_replace, freeze_holder, kill_under_load]
            results = [check(deployment) for check in checks]
        finally:
            deployment.stop()
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
