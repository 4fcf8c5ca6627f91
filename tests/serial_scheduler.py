"""Scheduler of parallel test runs that keeps some tests for the end, one at a time."""

from collections.abc import Sequence

import pytest
from xdist.remote import Producer
from xdist.scheduler import LoadScheduling
from xdist.workermanage import WorkerController

SERIAL_FOLDER = "tests/crowds/"
"""Folder of the tests that run after all others, one at a time."""


def is_serial(node_id: str) -> bool:
    """Return whether a test runs after the others, by its node id."""
    return node_id.startswith(SERIAL_FOLDER)


class SerialLastScheduling(LoadScheduling):
    """
    Distribute tests as usual, and then run the serial ones on the only worker left.

    The serial tests have to come last in the collection. A worker holds back its last
    test until it is told to stop. So all workers but one are told to stop when no other
    test is left, and the serial tests are sent once those workers have ended.
    """

    def __init__(self, config: pytest.Config, log: Producer | None = None) -> None:
        super().__init__(config, log)
        self.serial: list[int] = []

    def add_node_collection(
        self, node: WorkerController, collection: Sequence[str]
    ) -> None:
        """Add the tests that a worker has collected."""
        super().add_node_collection(node, collection)
        self.serial = [i for i, found in enumerate(collection) if is_serial(found)]

    def _parallel_left(self) -> int:
        """Return the number of tests to distribute that are not serial."""
        return sum(index not in self.serial for index in self.pending)

    def _send_tests(self, node: WorkerController, num: int) -> None:
        if self._parallel_left():
            super()._send_tests(node, min(num, self._parallel_left()))
        elif len(self.nodes) == 1:
            super()._send_tests(node, len(self.pending))
        elif node is not self.nodes[0]:
            node.shutdown()

    def check_schedule(self, node: WorkerController, duration: float = 0) -> None:
        """Send more tests to a worker, or tell it to stop."""
        if self.pending and not self._parallel_left() and not node.shutting_down:
            self._send_tests(node, 0)
            return
        super().check_schedule(node, duration)

    def remove_node(self, node: WorkerController) -> str | None:
        """Remove a worker that has ended; the last one left gets the serial tests."""
        crashed = super().remove_node(node)
        for left in self.nodes:
            self.check_schedule(left)
        return crashed
