"""A deployment on loopback, process by process, for demonstrations."""

import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import httpcore
import msgspec

from briarthread_common.messages.instance import Instance, InstanceRole

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class Process:
    """Hold a started process and the address it listens on."""

    name: str
    address: str
    handle: subprocess.Popen


class Deployment:
    """
    Start and stop the processes of several data centres on loopback.

    ``services`` maps each service to the module of its stand-in; every data
    centre gets the given numbers of entries and of targets a service.
    """

    def __init__(
        self,
        folder: Path,
        data_centres: list[str],
        services: dict[str, str],
        entries: int = 1,
        targets: int = 1,
        first_port: int = 18000,
        log_level: str = "WARNING",
    ) -> None:
        self.folder = folder
        self.data_centres = data_centres
        self.services = services
        self.entries = entries
        self.targets = targets
        self.port = first_port
        self.log_level = log_level
        self.processes: dict[str, Process] = {}
        self.instances: list[Instance] = []
        self.standins: dict[str, str] = {}
        self.platform = ""

    def start(self) -> None:
        """Start everything and wait until all of it answers."""
        self.platform = self._start_standin("platform", "platform_app")
        wait_until(lambda: self.get(self.platform, "/standin/counts"), "platform")
        for data_centre in self.data_centres:
            for number in range(self.entries):
                self.start_entry(data_centre, number)
            for service, module in self.services.items():
                for number in range(self.targets):
                    self.start_target(data_centre, service, module, number)
        self.put_instances()

    def start_entry(self, data_centre: str, number: int) -> Process:
        """Start one entry."""
        name = f"entry-{data_centre}-{number}"
        address = self._address(name)
        settings = self._write(name, self._sections(name, data_centre, address))
        instance = Instance(name, data_centre, address, InstanceRole.ENTRY)
        self._note(instance)
        return self._start(name, address, ["briarthread", "serve", str(settings)])

    def start_target(
        self, data_centre: str, service: str, module: str, number: int
    ) -> Process:
        """Start one target with the agent before it."""
        name = f"{service}-{data_centre}-{number}"
        target = self.standins.get(name)
        if target is None:
            target = self._start_standin(f"target-{name}", module)
            self.standins[name] = target
        return self.start_agent(data_centre, service, name, target)

    def start_agent(
        self, data_centre: str, service: str, name: str, target: str
    ) -> Process:
        """Start the agent of a target."""
        address = self._address(name)
        text = self._sections(name, data_centre, address, f"service = {service}\n")
        settings = self._write(name, f"{text}[target]\naddress = {target}\n")
        self._note(Instance(name, data_centre, address, InstanceRole.TARGET, service))
        return self._start(name, address, ["briarthread-agent", str(settings)])

    def put_instances(self) -> None:
        """Put all instances on the platform's list."""
        rows = [asdict(row) for row in self.instances]
        self.post(self.platform, "/standin/instances", {"put": rows})

    def apply(self, text: Path) -> None:
        """Apply a services text with the operator's command."""
        command = [*executable("briarthread"), "apply", f"--platform={self.platform}"]
        subprocess.run([*command, "--by=demo", str(text)], check=True)

    def wait_until_ready(self) -> None:
        """Wait until every entry and agent is ready."""
        for row in self.instances:
            wait_until(lambda row=row: self._is_ready(row.address), row.name)

    def wait_for_shares(self, services: list[str], shares: int) -> None:
        """
        Wait until every share of some services has a holder, and all know it.

        Entries of other data centres hear of the holders some seconds later,
        and tell callers of a key that its holder is unreachable until then.
        """

        def all_known() -> bool:
            held = 0
            versions = set()
            for row in self.instances:
                status = self.get(row.address, "/status")
                versions.add(status["versions"]["shares"])
                if row.service in services:
                    held += len(status["shares"])
            wanted = shares * len(services) * len(self.data_centres)
            return held >= wanted and len(versions) == 1

        wait_until(all_known, "shares")

    def stop(self) -> None:
        """Stop all processes gracefully, entries first."""
        names = sorted(self.processes, key=lambda name: name.startswith("target-"))
        for name in names:
            if name != "platform" and not name.startswith("target-"):
                self.processes[name].handle.terminate()
        for name in names:
            if name != "platform" and not name.startswith("target-"):
                self.processes[name].handle.wait(STOP_TIMEOUT_SECONDS)
        for process in self.processes.values():
            process.handle.terminate()
        for process in self.processes.values():
            process.handle.wait(STOP_TIMEOUT_SECONDS)

    def exit_codes(self) -> dict[str, int | None]:
        """Return how each entry and agent exited."""
        return {
            row.name: self.processes[row.name].handle.poll() for row in self.instances
        }

    def entry_address(self, data_centre: str, number: int = 0) -> str:
        """Return the address of an entry."""
        return self.processes[f"entry-{data_centre}-{number}"].address

    def post(self, address: str, path: str, message: object) -> object:
        """Send JSON and return the decoded answer."""
        body = msgspec.json.encode(message)
        response = httpcore.request("POST", f"http://{address}{path}", content=body)
        return msgspec.json.decode(response.content)

    def get(self, address: str, path: str) -> object:
        """Fetch JSON."""
        response = httpcore.request("GET", f"http://{address}{path}")
        return msgspec.json.decode(response.content)

    def _sections(
        self, name: str, data_centre: str, address: str, more: str = ""
    ) -> str:
        return (
            f"[instance]\nname = {name}\ndata_centre = {data_centre}\n"
            f"listen = {address}\ndrain_notice = 1\n{more}"
            f"[platform]\naddresses = {self.platform}\n"
            f"[peers]\npoll_interval = 0.5\n"
            f"[logs]\nlevel = {self.log_level}\n"
        )

    def _write(self, name: str, text: str) -> Path:
        path = self.folder / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        return path

    def _address(self, name: str) -> str:
        known = self.processes.get(name)
        if known is not None:
            return known.address
        self.port += 1
        return f"127.0.0.1:{self.port}"

    def _note(self, instance: Instance) -> None:
        if instance not in self.instances:
            self.instances.append(instance)

    def _start_standin(self, name: str, module: str) -> str:
        address = self._address(name)
        command = [sys.executable, "-m", f"briarthread_standins.{module}", address]
        self._start(name, address, command)
        return address

    def _start(self, name: str, address: str, command: list[str]) -> Process:
        full = [*executable(command[0]), *command[1:]]
        log = (self.folder / f"{name}.log").open("ab")
        handle = subprocess.Popen(full, stderr=log, stdout=log)
        process = Process(name, address, handle)
        self.processes[name] = process
        return process

    def _is_ready(self, address: str) -> bool:
        try:
            return httpcore.request("GET", f"http://{address}/readyz").status == 200
        except httpcore.NetworkError:
            return False


def executable(name: str) -> list[str]:
    """Return the command of a binary installed beside this Python."""
    path = Path(sys.executable).parent / name
    return [str(path)] if path.exists() else [name]


def wait_until(condition: object, what: str) -> None:
    """Wait until a condition holds or raise TimeoutError naming it."""
    end = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (httpcore.NetworkError, httpcore.TimeoutException):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{what} did not come up")
