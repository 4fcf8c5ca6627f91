"""Checks of the promises of the pages against what callers and targets saw."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from retry_oracle import ServiceTraffic

from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_standins.direct_config import DIARY, MODEL
from soak.soak_callers import CallerRecord
from soak.soak_faults import ENTRY_FAULTS, Disturbance, FaultKind
from soak.soak_monitor import BusyMonitor

GONE_SECONDS = 0.5
"""Time after which no work may begin or go on for a caller that has left."""
LOSS_SLACK_SECONDS = 0.2
"""Time within which a request that is not passed on may have crossed a close."""
SETTLE_SECONDS = 1.0
"""Time before and after a disturbance in which its effects may show."""
EVACUATED_SECONDS = 5.0
"""Time after an evacuation from which no request may arrive in its data centre."""
STABLE_SECONDS = 3.0
"""Time after a crash or a disturbance of an entry within which arrivals are allowed."""
CRASHES_ALLOWED = 5
REFUSALS = (429, 503)
SERVICES = {"/chat/": MODEL, "/book/": DIARY, "/list/": DIARY}
"""Service of each path."""
MIN_RECOVERED_SHARE = 0.9
EVENTS_PER_STREAM = 20


@dataclass(slots=True)
class TargetLog:
    """When each request arrived at a target or was refused, and when it had ended."""

    arrivals: dict[str, list[tuple[float, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    refusals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    ends: dict[tuple[str, str], float] = field(default_factory=dict)
    crashes: list[float] = field(default_factory=list)

    def retries(self, request: str) -> list[float]:
        """Return the times at which a request reached targets, but for the first."""
        arrivals = [at for at, _ in self.arrivals.get(request, [])]
        return sorted(arrivals + self.refusals.get(request, []))[1:]

    def read(self, target: str, log: Path) -> None:
        """Add the lines of a target's log."""
        for line in log.read_text(errors="replace").splitlines():
            match line.split():
                case [at, "arrived", request]:
                    self.arrivals[request].append((float(at), target))
                case [at, "refused", request]:
                    self.refusals[request].append(float(at))
                case [at, "crashed", _]:
                    self.crashes.append(float(at))
                case [at, "ended", request]:
                    self.ends[request, target] = float(at)


class SoakChecker:
    """Find violations of the promises."""

    def __init__(
        self,
        log: TargetLog,
        disturbances: list[Disturbance],
        monitor: BusyMonitor,
        data_centres: dict[str, str],
        retry_allowance: RetryAllowance,
    ) -> None:
        self.log = log
        self.retry_allowance = retry_allowance
        self.monitor = monitor
        self.disturbances = disturbances
        self.data_centres = data_centres

    def violations(self, records: Iterable[CallerRecord]) -> list[str]:
        """Return a line for each violation; a busy machine is named, not excused."""
        records = list(records)
        found = [
            f"{message}{self._busy_note(record)}: {record}"
            for record in records
            for message in self._violations_of(record)
        ]
        return [*found, *self._excessive_retries(records)]

    def recovered_share(self, records: Iterable[CallerRecord], since: float) -> float:
        """Return the share of served requests among those sent since a time."""
        asked = [
            r for r in records if (r.sent_at or r.ended_at) >= since and not r.left_at
        ]
        served = [r for r in asked if r.status == 200 and r.complete]
        return len(served) / len(asked) if asked else 0.0

    def late_arrivals_of_culprit(
        self, records: Iterable[CallerRecord], prefix: str
    ) -> list[str]:
        """
        Return the arrivals of requests that end targets long after the fifth end.

        The requests are those whose id begins with ``prefix``. Arrivals from an entry
        that was disturbed within ``STABLE_SECONDS`` before are left out.
        """
        crashes = sorted(self.log.crashes)
        if len(crashes) < CRASHES_ALLOWED:
            return []
        since = crashes[CRASHES_ALLOWED - 1] + STABLE_SECONDS
        entries = {r.request: r.entry for r in records if r.request.startswith(prefix)}
        return [
            f"{request} reached {target} {at - since:.2f} s too late"
            for request, entry in entries.items()
            for at, target in self.log.arrivals.get(request, [])
            if at > since and not self._was_out_of_touch(entry, at)
        ]

    def _was_out_of_touch(self, entry: str, at: float) -> bool:
        return any(
            d.subject == entry and d.overlaps(at - STABLE_SECONDS, at)
            for d in self.disturbances
        )

    def _excessive_retries(self, records: list[CallerRecord]) -> Iterator[str]:
        """Yield the worst window of each service that got too many retries."""
        traffic = {service: ServiceTraffic() for service in SERVICES.values()}
        for record in records:
            service = traffic[SERVICES[record.path]]
            service.requests.append(record.sent_at or record.ended_at)
            service.retries.extend(self.log.retries(record.request))
        for name, service in traffic.items():
            worst = service.worst_window(self.retry_allowance)
            if worst.excess > 0:
                yield f"BUDGET: {name}: {worst}"

    def _violations_of(self, record: CallerRecord) -> Iterator[str]:
        arrivals = self.log.arrivals.get(record.request, [])
        if record.path == "/book/" and len(arrivals) > 1:
            yield f"TWICE: arrived {arrivals}"
        if record.status in REFUSALS and arrivals:
            yield f"REFUSED: arrived {arrivals}"
        if record.status == 200 and record.complete and not self._is_whole(record):
            yield "MIXED: wrong body"
        yield from self._arrivals_after_evacuation(arrivals)
        if self._lost_in_planned_stop(record):
            yield "LOST: no complete response around a planned stop"
        if record.left_at is not None:
            yield from self._work_after_caller_left(record, arrivals)

    def _arrivals_after_evacuation(
        self, arrivals: list[tuple[float, str]]
    ) -> Iterator[str]:
        for evacuation in self.disturbances:
            if evacuation.kind is not FaultKind.EVACUATED:
                continue
            first = evacuation.began_at + EVACUATED_SECONDS
            for at, target in arrivals:
                is_inside = self.data_centres[target] == evacuation.subject
                if is_inside and first < at < evacuation.ended_at:
                    yield f"EVACUATED: reached {target} {at - first:.2f} s too late"

    def _busy_note(self, record: CallerRecord) -> str:
        first = record.ended_at if record.sent_at is None else record.sent_at
        busy = self.monitor.was_busy(first, record.ended_at + GONE_SECONDS)
        return " (a process waited for a processor)" if busy else ""

    def _is_whole(self, record: CallerRecord) -> bool:
        if record.path != "/chat/":
            arrivals = self.log.arrivals.get(record.request, [])
            return record.body.decode() in {target for _, target in arrivals}
        lines = record.body.decode().split("\n")
        ids = [int(line[3:]) for line in lines if line.startswith("id:")]
        return ids == list(range(1, EVENTS_PER_STREAM + 1))

    def _lost_in_planned_stop(self, record: CallerRecord) -> bool:
        broken = record.sent_at is not None and not record.complete
        if not broken or record.left_at is not None:
            return False
        overlapping = [
            d
            for d in self.disturbances
            if d.overlaps(record.sent_at - SETTLE_SECONDS, record.ended_at)
        ]
        kinds = {d.kind for d in overlapping}
        stopped = {d.subject for d in overlapping}
        if kinds != {FaultKind.ENTRY_STOPPED} or record.entry not in stopped:
            return False
        crossed_close = record.ended_at - record.sent_at <= LOSS_SLACK_SECONDS
        return not crossed_close or record.request in self.log.arrivals

    def _work_after_caller_left(
        self, record: CallerRecord, arrivals: list[tuple[float, str]]
    ) -> Iterator[str]:
        """Yield late arrivals and runs, from when the entry could know of the close."""
        known_at = self._close_known_at(record)
        for at, target in arrivals:
            if at > known_at + GONE_SECONDS:
                yield f"GONE: reached {target} {at - record.left_at:.2f} s later"
            ended = self.log.ends.get((record.request, target))
            calm = not self._disturbed(target, at, known_at + GONE_SECONDS)
            if ended is not None and calm and ended > known_at + GONE_SECONDS:
                later = ended - record.left_at
                yield f"GONE: ran at {target} until {later:.2f} s later"

    def _close_known_at(self, record: CallerRecord) -> float:
        """Return when a caller's close had reached its entry and it ran for a while."""
        ends = [
            d.ended_at
            for d in self.disturbances
            if d.kind in ENTRY_FAULTS
            and d.subject == record.entry
            and d.overlaps(record.left_at, record.left_at + GONE_SECONDS)
        ]
        return max([record.left_at, *ends])

    def _disturbed(self, subject: str, first: float, last: float) -> bool:
        return any(
            d.subject == subject and d.overlaps(first - SETTLE_SECONDS, last)
            for d in self.disturbances
        )
