"""Choice among the targets of plain services, which differ in speed."""

import random
from collections.abc import Sequence

import anyio
from loguru import logger

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.call_kind import CallKind
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.routing.choose_target import (
    RunningElsewhere,
    choose_plain,
    without_ejected,
)
from briarthread_entry.direct.routing.plain_option import PlainOption
from briarthread_entry.direct.routing.service_record import ServiceRecord
from briarthread_entry.direct.targets.probe_schedule import FIRST_INTERVAL_SECONDS
from briarthread_entry.direct.targets.target_condition import TargetCondition
from briarthread_entry.direct.targets.target_state import (
    DEFAULT_RESPONSE_SECONDS,
    DirectTargetState,
)

SLOW_FACTOR = 2.0
"""Mean duration relative to the service's from which a target is slow. The means of
equal targets differ by less, since each covers about seven responses."""
RECOVERED_FACTOR = 1.5
"""Mean duration relative to the service's up to which a slow target is normal again;
it is lower than SLOW_FACTOR so that a target does not change at each response."""
SILENCE_FACTOR = 4.0
"""Time without any answer, relative to the target's usual duration, from which a target
is silent. About one call in 50 is longer if durations are distributed exponentially,
and a target in use answers others meanwhile."""
MIN_SILENCE_SECONDS = 0.25
"""Shortest time in seconds without any answer that is a silence. Calls that usually
take milliseconds wait that long for a garbage collection or a lost packet."""
UNSAFE_PROBE_DELAY_SECONDS = 2.0
"""Time in seconds for which a probe that is due is left to requests that may be
retried. An unsafe request can be sent to one target only."""
UNSAFE_SILENT_PROBE_DELAY_SECONDS = 10.0
"""The same for a silent target, at which an unsafe request is lost if the target still
does not answer."""


class PlainTargets:
    """
    Choose the targets of plain services by what this entry observed of them.

    It is for services whose targets differ in speed, slow down when nearly full, stop
    answering or have just been started. A target that is new or silent gets one attempt
    at a time, as a probe. A slow target is used when the others are full, and is probed
    for its recovery. Equal targets are chosen by their load and data centre only.
    """

    def __init__(
        self,
        data_centre: str,
        metrics: Metrics,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self.data_centre = data_centre
        self.metrics = metrics
        self.events = events
        self.rng = rng
        self.services: dict[str, ServiceRecord] = {}

    def choose(
        self,
        request: DirectRequest,
        states: Sequence[DirectTargetState],
        elsewhere: RunningElsewhere,
        now: float,
    ) -> DirectTargetState | None:
        """Return the target of an attempt, ``None`` if there are none."""
        for state in states:
            self._update_condition(state, now)
        healthy = without_ejected(states, now)
        accepting = [s for s in healthy if self._accepts(s, request, now)]
        options = [
            self._option(s, request, elsewhere(s.target.name), now)
            for s in accepting or healthy
        ]
        chosen = choose_plain(
            options, self.data_centre, _time_to_objective(request, now), self.rng
        )
        if chosen is None:
            return None
        self._note_choice(request, chosen, options, now)
        return chosen.state

    def note_served(
        self, state: DirectTargetState, seconds: float, running: int, began: float
    ) -> None:
        """
        Record a response to an attempt that began while ``running`` others ran.

        The result of a probe replaces what was known of the target before.
        """
        self._record_of(state).seconds.add(seconds)
        if state.probe.takes_result(began):
            state.response_seconds.samples = 0
        state.durations.add(state.fill(running), seconds, began + seconds)

    def note_moved(
        self, state: DirectTargetState, seconds: float, running: int
    ) -> None:
        """
        Record an attempt that was moved off the target because it was not answered.

        Its age is a lower bound of the duration at that load. It does not enter the
        mean over all loads, by which a silence is recognised.
        """
        state.durations.add(state.fill(running), seconds, anyio.current_time())

    def silence_limit(self, state: DirectTargetState) -> float | None:
        """
        Return the seconds without an answer after which a target is silent.

        Return ``None`` while no target of its service has answered.
        """
        usual = self._service_seconds(state)
        if usual is None:
            return None
        if state.response_seconds.samples:
            usual = state.response_seconds.value
        return max(SILENCE_FACTOR * usual, MIN_SILENCE_SECONDS)

    def _option(
        self, state: DirectTargetState, request: DirectRequest, running: int, now: float
    ) -> PlainOption:
        total = state.running + running
        usual = self._usual_seconds(state, request, state.fill(total), now)
        return PlainOption(state, usual, state.cost(usual, total))

    def _usual_seconds(
        self, state: DirectTargetState, request: DirectRequest, fill: float, now: float
    ) -> float:
        """
        Return the duration of a call that is to be expected at a load.

        A target that has not answered is assumed to be as fast as its service's mean,
        and so is a slow one that is to be probed.
        """
        service_seconds = self._service_seconds(state) or DEFAULT_RESPONSE_SECONDS
        if not state.response_seconds.samples:
            return service_seconds
        if state.condition is TargetCondition.SLOW and self._probe_due(
            state, request, now
        ):
            return min(state.response_seconds.value, service_seconds)
        by_load = state.durations.seconds_at(fill, now)
        return state.response_seconds.value if by_load is None else by_load

    def _service_seconds(self, state: DirectTargetState) -> float | None:
        """Return the mean duration of a service's calls, ``None`` if there is none."""
        mean = self._record_of(state).seconds
        return mean.value if mean.samples else None

    def _record_of(self, state: DirectTargetState) -> ServiceRecord:
        return self.services.setdefault(state.target.service, ServiceRecord())

    def _accepts(
        self, state: DirectTargetState, request: DirectRequest, now: float
    ) -> bool:
        """Return whether a target may be chosen for a request, also as a probe."""
        match state.condition:
            case TargetCondition.NEW:
                is_idle = not state.unanswered.sent_at
                return is_idle and self._probe_due(state, request, now)
            case TargetCondition.SILENT:
                return self._probe_due(state, request, now)
            case _:
                return True

    def _probe_due(
        self, state: DirectTargetState, request: DirectRequest, now: float
    ) -> bool:
        if now < state.probe.next_at + _probe_delay(state.condition, request):
            return False
        is_new = state.condition is TargetCondition.NEW
        return is_new or self._record_of(state).may_probe()

    def _judge(self, state: DirectTargetState, now: float) -> TargetCondition:
        service_seconds = self._service_seconds(state)
        silence = self.silence_limit(state)
        if service_seconds is None or silence is None:
            return TargetCondition.NORMAL
        if state.unanswered.silent_seconds(now) > silence:
            return TargetCondition.SILENT
        if not state.response_seconds.samples:
            return TargetCondition.NEW
        was_slow = state.condition is TargetCondition.SLOW
        factor = RECOVERED_FACTOR if was_slow else SLOW_FACTOR
        if state.response_seconds.value > factor * service_seconds:
            return TargetCondition.SLOW
        return TargetCondition.NORMAL

    def _update_condition(self, state: DirectTargetState, now: float) -> None:
        condition = self._judge(state, now)
        if condition is state.condition:
            return
        logger.info(
            "plain targets: {} is {}, was {}; silent for {:.3f} s, mean {:.3f} s",
            state.target.name,
            condition,
            state.condition,
            state.unanswered.silent_seconds(now),
            state.response_seconds.value,
        )
        self.metrics.target_conditions.labels(condition).inc()
        state.condition = condition
        is_new = condition is TargetCondition.NEW
        state.probe.restart(now, 0.0 if is_new else FIRST_INTERVAL_SECONDS)

    def _note_choice(
        self,
        request: DirectRequest,
        chosen: PlainOption,
        options: Sequence[PlainOption],
        now: float,
    ) -> None:
        """Count and record a choice that an equal service would not have led to."""
        state = chosen.state
        record = self._record_of(state)
        record.choices += 1
        if state.condition is not TargetCondition.NORMAL and self._probe_due(
            state, request, now
        ):
            if state.condition is not TargetCondition.NEW:
                state.probe.note_sent(now)
                record.choices = 0
            self._note_decision(request, state, f"probe-{state.condition}")
        elif state.target.data_centre != self.data_centre and any(
            option.state.target.data_centre == self.data_centre
            and option.cost < chosen.cost
            for option in options
        ):
            self._note_decision(request, state, "remote-in-time")

    def _note_decision(
        self, request: DirectRequest, state: DirectTargetState, decision: str
    ) -> None:
        self.metrics.plain_choices.labels(decision).inc()
        reason = f"the target's mean is {state.response_seconds.value:.3f} s"
        self.events.add(decision, state.target.name, reason, request.id)


def _probe_delay(condition: TargetCondition, request: DirectRequest) -> float:
    """Return for how long a request leaves a probe that is due to others."""
    if request.route.retryable:
        return 0.0
    if condition is TargetCondition.SILENT:
        return UNSAFE_SILENT_PROBE_DELAY_SECONDS
    return UNSAFE_PROBE_DELAY_SECONDS


def _time_to_objective(request: DirectRequest, now: float) -> float:
    """
    Return the seconds left until the complete response is late.

    The objective of a stream is that of its first event, so no duration is compared
    with it.
    """
    if request.route.kind is CallKind.STREAM:
        return float("inf")
    return request.arrived + request.route.slo - now
