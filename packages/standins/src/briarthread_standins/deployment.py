"""A deployment of real processes on the loopback interface, for demonstrations."""

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
    """A started process and its listen address."""

    name: str
    address: str
    handle: subprocess.Popen


class Deployment:
    """
    Start and stop the processes of several data centres on the loopback interface.

    ``services`` maps each service to the module of its stand-in; every data centre
    gets the given numbers of entries and of targets per service.
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
        """Start all processes and register the instances."""
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
        settings = self._write_settings(
            name, self._settings_text(name, data_centre, address)
        )
        instance = Instance(name, data_centre, address, InstanceRole.ENTRY)
        self._record_instance(instance)
        return self._start_process(
            name, address, ["briarthread", "serve", str(settings)]
        )

    def start_target(
        self, data_centre: str, service: str, module: str, number: int
    ) -> Process:
        """Start one target with its agent."""
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
        text = self._settings_text(name, data_centre, address, f"service = {service}\n")
        settings = self._write_settings(name, f"{text}[target]\naddress = {target}\n")
        self._record_instance(
            Instance(name, data_centre, address, InstanceRole.TARGET, service)
        )
        return self._start_process(name, address, ["briarthread-agent", str(settings)])

    def put_instances(self) -> None:
        """Register all instances with the platform."""
        rows = [asdict(row) for row in self.instances]
        self.post(self.platform, "/standin/instances", {"put": rows})

    def apply(self, text: Path) -> None:
        """Apply a services text with ``briarthread apply``."""
        command = [
            *installed_command("briarthread"),
            "apply",
            f"--platform={self.platform}",
        ]
        subprocess.run([*command, "--by=demo", str(text)], check=True)

    def wait_until_ready(self) -> None:
        """Wait until every entry and agent is ready."""
        for row in self.instances:
            wait_until(lambda row=row: self._is_ready(row.address), row.name)

    def wait_for_shares(self, services: list[str], shares: int) -> None:
        """
        Wait until every share of some services has a holder that all processes know.

        Entries of other data centres learn of the holders some seconds later and until
        then refuse requests with a key because its holder is unreachable.
        """

        def all_shares_known() -> bool:
            held_shares = 0
            versions = set()
            for row in self.instances:
                status = self.get(row.address, "/status")
                versions.add(status["versions"]["shares"])
                if row.service in services:
                    held_shares += len(status["shares"])
            expected_shares = shares * len(services) * len(self.data_centres)
            return held_shares >= expected_shares and len(versions) == 1

        wait_until(all_shares_known, "shares")

    def stop(self) -> None:
        """Stop all processes gracefully, entries and agents before the stand-ins."""
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
        """Return the exit code of each entry and agent, ``None`` while it runs."""
        return {
            row.name: self.processes[row.name].handle.poll() for row in self.instances
        }

    def entry_address(self, data_centre: str, number: int = 0) -> str:
        """Return the address of an entry."""
        return self.processes[f"entry-{data_centre}-{number}"].address

    def post(self, address: str, path: str, message: object) -> object:
        """Send a JSON message and return the decoded response."""
        body = msgspec.json.encode(message)
        response = httpcore.request("POST", f"http://{address}{path}", content=body)
        return msgspec.json.decode(response.content)

    def get(self, address: str, path: str) -> object:
        """Fetch a JSON document."""
        response = httpcore.request("GET", f"http://{address}{path}")
        return msgspec.json.decode(response.content)

    def _settings_text(
        self, name: str, data_centre: str, address: str, more: str = ""
    ) -> str:
        return (
            f"[instance]\nname = {name}\ndata_centre = {data_centre}\n"
            f"listen = {address}\ndrain_notice = 1\n{more}"
            f"[platform]\naddresses = {self.platform}\n"
            f"[peers]\npoll_interval = 0.5\n"
            f"[logs]\nlevel = {self.log_level}\n"
        )

    def _write_settings(self, name: str, text: str) -> Path:
        path = self.folder / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        return path

    def _address(self, name: str) -> str:
        process = self.processes.get(name)
        if process is not None:
            return process.address
        self.port += 1
        return f"127.0.0.1:{self.port}"

    def _record_instance(self, instance: Instance) -> None:
        if instance not in self.instances:
            self.instances.append(instance)

    def _start_standin(self, name: str, module: str) -> str:
        address = self._address(name)
        command = [sys.executable, "-m", f"briarthread_standins.{module}", address]
        self._start_process(name, address, command)
        return address

    def _start_process(self, name: str, address: str, command: list[str]) -> Process:
        full_command = [*installed_command(command[0]), *command[1:]]
        log = (self.folder / f"{name}.log").open("ab")
        handle = subprocess.Popen(full_command, stderr=log, stdout=log)
        process = Process(name, address, handle)
        self.processes[name] = process
        return process

    def _is_ready(self, address: str) -> bool:
        try:
            return httpcore.request("GET", f"http://{address}/readyz").status == 200
        except httpcore.NetworkError:
            return False


def installed_command(name: str) -> list[str]:
    """Return the command line of a script installed next to the interpreter."""
    path = Path(sys.executable).parent / name
    return [str(path)] if path.exists() else [name]


def wait_until(condition: object, what: str) -> None:
    """Wait until a condition holds; raise TimeoutError after the start timeout."""
    end = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (httpcore.NetworkError, httpcore.TimeoutException):
            pass
        time.sleep(0.05)
    raise TimeoutError(
        f"timed out after {START_TIMEOUT_SECONDS:g} s waiting for {what}"
    )
