"""Checks which target answers at an address."""

from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import ChannelError
from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.header_names import HeaderNames
from briarthread_common.http.channel import Channel, ChannelRequest
from briarthread_common.http.channel_calls import discard_bounded
from briarthread_entry.direct.attempts.attempt_outcome import MISDIRECTED_REQUEST
from briarthread_entry.direct.targets.address_holders import AddressHolders
from briarthread_entry.direct.targets.probe_schedule import ProbeSchedule
from briarthread_entry.direct.targets.target_state import DirectTargetState

CHECK_TIMEOUT_SECONDS = 1.0
"""Longest wait in seconds for the answer to a check, which may wait for a slot."""
CHECK_INTERVAL_SECONDS = 0.25
"""Interval in seconds at which due checks are started while one is needed."""
MAX_HEALTH_BYTES = 64 * 1024
"""Largest body of a health response that is read, in bytes."""
CHECK_METHOD = "GET"
CHECK_PRESENT, CHECK_ABSENT, CHECK_UNKNOWN = "present", "absent", "unknown"


class TargetChecker:
    """
    Ask a target at an address for its name while the evidence on it is contradictory.

    A check is a health request that names the expected target. It carries nothing of a
    caller, so a refusal is the target's own word. One check runs at a time for each
    address, and the pauses between checks without a result double up to 16 s.
    """

    def __init__(
        self,
        holders: AddressHolders,
        find_service: Callable[[str], DirectService | None],
        channel: Channel,
        names: HeaderNames,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        self.holders = holders
        self.find_service = find_service
        self.channel = channel
        self.names = names
        self.metrics = metrics
        self.events = events
        self.schedules: dict[str, ProbeSchedule] = {}
        self.running: dict[str, anyio.Event] = {}
        self.needed = anyio.Event()

    def note_refusal(self, state: DirectTargetState, sent_at: float) -> None:
        """Record that a target refused a caller's request as not meant for it."""
        state.presence.note_refusal(sent_at)
        if state.presence.is_refused:
            self.holders.note_evidence([state])
            self.request_checks()

    def request_checks(self) -> None:
        """Start the checks that are due without waiting for the next interval."""
        self.needed.set()

    async def run(self) -> None:
        """Start checks as they are needed until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                unsettled = self.holders.unsettled()
                self._start_due(tasks, unsettled)
                self.needed = anyio.Event()
                interval = CHECK_INTERVAL_SECONDS if unsettled else None
                with anyio.move_on_after(interval):
                    await self.needed.wait()

    async def wait(self, states: Iterable[DirectTargetState], seconds: float) -> None:
        """Wait for the end of one of the checks that run on some targets."""
        ends = [
            self.running[state.target.address]
            for state in states
            if state.target.address in self.running
        ]
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:

                async def wait_for(end: anyio.Event) -> None:
                    await end.wait()
                    tasks.cancel_scope.cancel()

                for end in ends:
                    tasks.start_soon(wait_for, end)

    def _start_due(
        self, tasks: TaskGroup, unsettled: dict[str, list[DirectTargetState]]
    ) -> None:
        now = anyio.current_time()
        for address in self.schedules.keys() - unsettled.keys():
            if self.schedules[address].next_at <= now:
                del self.schedules[address]
        for address, states in unsettled.items():
            schedule = self.schedules.setdefault(address, ProbeSchedule(now))
            if address not in self.running and schedule.next_at <= now:
                schedule.note_sent(now)
                self.running[address] = anyio.Event()
                tasks.start_soon(self._check_address, address, states)

    async def _check_address(
        self, address: str, states: list[DirectTargetState]
    ) -> None:
        """Check the targets at an address in turn until one is known to answer."""
        try:
            for state in sorted(states, key=_likelihood):
                path = self._health_path(state)
                if not path:
                    continue
                result = await self._check(state, path, states)
                self.metrics.target_checks.labels(result).inc()
                self.events.add("target-checked", state.target.name, result)
                self.holders.note_evidence(states)
                if result != CHECK_ABSENT or self._is_settled(address):
                    return
        finally:
            self.running.pop(address).set()

    def _is_settled(self, address: str) -> bool:
        return address not in self.holders.unsettled()

    def _health_path(self, state: DirectTargetState) -> str:
        """Return the path of a target's health requests, empty if there is none."""
        service = self.find_service(state.target.service)
        return "" if service is None else service.health_path

    async def _check(
        self, state: DirectTargetState, path: str, states: list[DirectTargetState]
    ) -> str:
        """Ask for the name of the target at an address, and record the answer."""
        sent_at = anyio.current_time()
        try:
            with anyio.fail_after(CHECK_TIMEOUT_SECONDS):
                status, name = await self._ask(state, path)
        except (TimeoutError, ChannelError) as error:
            logger.info("targets: check of {} failed: {}", state.target.name, error)
            return CHECK_UNKNOWN
        logger.info(
            "targets: check of {} at {}: status {}, name {!r}",
            state.target.name,
            state.target.address,
            status,
            name,
        )
        if name:
            for listed in states:
                _note_name(listed, name, sent_at)
        elif status == MISDIRECTED_REQUEST:
            state.presence.note_absence(sent_at)
        else:
            return CHECK_UNKNOWN
        return CHECK_ABSENT if state.presence.is_absent else CHECK_PRESENT

    async def _ask(self, state: DirectTargetState, path: str) -> tuple[int, str]:
        """Return the status of a health response and the name in it, empty if none."""
        headers = ((self.names.expected_target, state.target.name),)
        request = ChannelRequest(
            CHECK_METHOD,
            state.target.address,
            path,
            headers,
            body=None,
            new_connection=True,
        )
        async with self.channel.stream(request) as response:
            await discard_bounded(response.body, MAX_HEALTH_BYTES)
            return response.status, response.headers.get(self.names.target_name, "")


def _likelihood(state: DirectTargetState) -> tuple[bool, float, float]:
    """Return a sort key that puts the target first that is most likely to answer."""
    presence = state.presence
    return (presence.is_absent, -presence.answered_at, presence.listed_at)


def _note_name(state: DirectTargetState, name: str, sent_at: float) -> None:
    if state.target.name == name:
        state.presence.note_answer(sent_at)
    else:
        state.presence.note_absence(sent_at)
