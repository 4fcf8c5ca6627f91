"""Order in which a parallel run distributes the tests that run one at a time."""

from dataclasses import dataclass, field
from types import SimpleNamespace

from serial_scheduler import SERIAL_FOLDER, SerialLastScheduling

PARALLEL = [f"tests/common/test_a.py::test_{number}" for number in range(9)]
SERIAL = [f"{SERIAL_FOLDER}test_b.py::test_{number}" for number in range(3)]


@dataclass(eq=False)
class Worker:
    """A worker that runs at once what it may: all but its last test, until told to."""

    name: str
    started: list[int] = field(default_factory=list)
    waiting: list[int] = field(default_factory=list)
    shutting_down: bool = False

    @property
    def gateway(self) -> SimpleNamespace:
        return SimpleNamespace(id=self.name)

    def send_runtest_some(self, indices: list[int]) -> None:
        self.waiting += indices

    def shutdown(self) -> None:
        self.shutting_down = True

    def run_next(self) -> int | None:
        if len(self.waiting) > (0 if self.shutting_down else 1):
            return self.waiting.pop(0)
        return None


def build_scheduler(workers: list[Worker]) -> SerialLastScheduling:
    config = SimpleNamespace(
        getoption=lambda _: None,
        getvalue=lambda name: [f"{len(workers)}*popen"] if name == "tx" else None,
    )
    scheduler = SerialLastScheduling(config)
    for worker in workers:
        scheduler.add_node(worker)
    for worker in workers:
        scheduler.add_node_collection(worker, PARALLEL + SERIAL)
    return scheduler


def test_serial_tests_run_last_and_on_the_only_worker_left() -> None:
    """Guards against load beside tests that measure the memory of a process."""
    workers = [Worker(name) for name in "abc"]
    scheduler = build_scheduler(workers)
    scheduler.schedule()
    order: list[int] = []
    while workers:
        for worker in list(workers):
            index = worker.run_next()
            if index is not None:
                if index >= len(PARALLEL):
                    assert len(workers) == 1
                order.append(index)
                scheduler.mark_test_complete(worker, index)
            elif worker.shutting_down and not worker.waiting:
                workers.remove(worker)
                scheduler.remove_node(worker)
    assert sorted(order[: len(PARALLEL)]) == list(range(len(PARALLEL)))
    assert order[len(PARALLEL) :] == [9, 10, 11]
    assert not scheduler.has_pending
