"""Order of the tests, and support for those in KNOWN-RED.txt, which fail."""

from pathlib import Path

import pytest
from serial_scheduler import SerialLastScheduling, is_serial
from xdist.remote import Producer

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Return the first field of each entry of the list, a test's node id."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return [line.partition("|")[0].strip() for line in entries]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect listed tests to fail, and put those last that run one at a time."""
    items.sort(key=lambda item: is_serial(item.nodeid))
    for item in items:
        for listed in known_red():
            if item.nodeid == listed or item.nodeid.startswith(f"{listed}["):
                mark = pytest.mark.xfail(strict=True, reason=f"KNOWN RED: {listed}")
                item.add_marker(mark)


def pytest_xdist_make_scheduler(
    config: pytest.Config, log: Producer
) -> SerialLastScheduling:
    """Return the scheduler of a parallel run."""
    return SerialLastScheduling(config, log)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests at the end of each run."""
    for listed in known_red():
        terminalreporter.write_line(f"KNOWN RED: {listed}")
