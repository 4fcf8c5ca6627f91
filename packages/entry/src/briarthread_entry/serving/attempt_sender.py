"""Sending of a single attempt to an agent, and its revocation."""

from dataclasses import dataclass, field

import anyio
import msgspec

from briarthread_common.core.decoding import decode_json
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import (
    BrokenCallError,
    ChannelError,
    DecodeError,
    RequestError,
    RequestNotSentError,
)
from briarthread_common.core.outcome import NOT_RUN_STATUSES
from briarthread_common.http.app import ResponseAborted
from briarthread_common.http.call import Call
from briarthread_common.http.channel import Channel, ChannelRequest, ChannelResponse
from briarthread_common.http.channel_calls import call_json, read_bounded
from briarthread_common.http.forwarded_headers import (
    FORWARDED_RESPONSE_HEADERS,
    STREAM_CONTENT_TYPE,
)
from briarthread_common.messages.attempt import (
    ANSWERED,
    ATTEMPT_HEADER,
    LOAD_HEADER,
    RESULT_HEADER,
    Attempt,
)
from briarthread_common.messages.load_report import LoadReport
from briarthread_common.messages.revoke import (
    RevokeAnswer,
    RevokeRequest,
    RevokeState,
)
from briarthread_common.utils.clock import Clock
from briarthread_entry.routing.target_state import TargetState
from briarthread_entry.serving.attempt_outcome import (
    AttemptOutcome,
    NotRun,
    OutcomeUnknown,
    ResponseRelayed,
)
from briarthread_entry.serving.caller_request import CallerRequest
from briarthread_entry.serving.read_outcome import (
    deadline_passed,
    outcome_unknown,
    promise_without_proof,
    read_refusal,
    revoked,
)

REVOKE_TIMEOUT_SECONDS = 0.5
RESPONSE_MARGIN_SECONDS = 0.03
"""Time before the deadline at which the final response is prepared, in seconds."""
MAX_SENDS = 3
"""
Maximum number of times that an attempt is sent to its agent.

It is sent again if the connection breaks while the attempt runs.
"""


@dataclass(slots=True)
class _Progress:
    """Progress of the task that sends an attempt."""

    head: anyio.Event = field(default_factory=anyio.Event)
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: AttemptOutcome | None = None


class AttemptSender:
    """
    Send an attempt to an agent and relay its response to the caller.

    If no response arrives in time or the connection breaks, the agent is asked to
    revoke the attempt. The state that it returns decides whether the request may be
    sent to another target.
    """

    def __init__(self, channel: Channel, clock: Clock) -> None:
        self.channel = channel
        self.clock = clock

    async def send(
        self,
        request: CallerRequest,
        attempt: Attempt,
        target: TargetState,
        call: Call,
    ) -> AttemptOutcome:
        """Return the outcome of the attempt, at the caller's deadline at the latest."""
        outcome: AttemptOutcome = outcome_unknown("no answer")
        for _ in range(MAX_SENDS):
            outcome = await self._send_once(request, attempt, target, call)
            if not isinstance(outcome, OutcomeUnknown):
                return outcome
            if call.started:
                raise ResponseAborted("the response was cut off")
            if self._remaining_seconds(attempt) <= 0:
                return outcome
            revoke_state = await self._revoke(attempt, target)
            if revoke_state is RevokeState.REVOKED:
                return revoked()
            if revoke_state is None:
                return outcome
        return outcome

    async def _send_once(
        self,
        request: CallerRequest,
        attempt: Attempt,
        target: TargetState,
        call: Call,
    ) -> AttemptOutcome:
        progress = _Progress()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._exchange, request, attempt, target, call, progress)
            outcome = await self._await_outcome(request, attempt, target, progress)
            tasks.cancel_scope.cancel()
        return ResponseRelayed() if call.finished else outcome

    async def _await_outcome(
        self,
        request: CallerRequest,
        attempt: Attempt,
        target: TargetState,
        progress: _Progress,
    ) -> AttemptOutcome:
        timeout = min(request.service.patience, self._remaining_seconds(attempt))
        with anyio.move_on_after(timeout):
            await progress.head.wait()
        if not progress.head.is_set():
            revoke_state = await self._revoke(attempt, target)
            if revoke_state is RevokeState.REVOKED:
                return revoked()
            if revoke_state is None:
                return outcome_unknown("the agent does not respond")
        with anyio.move_on_after(self._remaining_seconds(attempt)):
            await progress.done.wait()
        return progress.outcome or deadline_passed()

    async def _exchange(
        self,
        request: CallerRequest,
        attempt: Attempt,
        target: TargetState,
        call: Call,
        progress: _Progress,
    ) -> None:
        try:
            progress.outcome = await self._stream(
                request, attempt, target, call, progress
            )
        except RequestNotSentError as error:
            progress.outcome = NotRun(RequestError(ErrorKind.NO_TARGET, str(error)))
        except BrokenCallError as error:
            progress.outcome = outcome_unknown(str(error))
        progress.head.set()
        progress.done.set()

    async def _stream(
        self,
        request: CallerRequest,
        attempt: Attempt,
        target: TargetState,
        call: Call,
        progress: _Progress,
    ) -> AttemptOutcome:
        header = msgspec.json.encode(attempt).decode()
        channel_request = ChannelRequest(
            "POST",
            target.instance.address,
            "/agent/v1/attempts",
            (*request.headers, (ATTEMPT_HEADER, header)),
            request.body,
        )
        async with self.channel.stream(channel_request) as response:
            progress.head.set()
            self._apply_load_report(target, response)
            result = response.headers.get(RESULT_HEADER, "")
            if result != ANSWERED:
                return read_refusal(result, response)
            if response.status in NOT_RUN_STATUSES and not request.idempotent:
                return promise_without_proof(response.status)
            await self._relay_response(request, response, call)
        return ResponseRelayed()

    async def _relay_response(
        self, request: CallerRequest, response: ChannelResponse, call: Call
    ) -> None:
        headers = [
            (k, v)
            for k, v in response.headers.items()
            if k in FORWARDED_RESPONSE_HEADERS
        ]
        headers.append(("briarthread-request", request.id))
        if response.headers.get("content-type", "").startswith(STREAM_CONTENT_TYPE):
            await call.start(response.status, headers)
            async for chunk in response.body:
                await call.send_chunk(chunk)
            await call.finish()
            return
        body = await read_bounded(response.body, request.service.answer_bytes)
        await call.reply(response.status, body, headers)

    async def _revoke(
        self, attempt: Attempt, target: TargetState
    ) -> RevokeState | None:
        """Return the revocation state, ``None`` if the agent does not respond."""
        message = RevokeRequest(
            attempt.key, attempt.id, attempt.incarnation, attempt.deadline
        )
        try:
            answer = await call_json(
                self.channel,
                target.instance.address,
                "POST",
                "/agent/v1/revoke",
                message,
                RevokeAnswer,
                REVOKE_TIMEOUT_SECONDS,
            )
        except ChannelError:
            return None
        return answer.state

    def _apply_load_report(
        self, target: TargetState, response: ChannelResponse
    ) -> None:
        raw = response.headers.get(LOAD_HEADER, "")
        try:
            report = decode_json(raw, LoadReport)
        except DecodeError:
            return
        target.apply_report(report, self.clock.now())

    def _remaining_seconds(self, attempt: Attempt) -> float:
        return max(attempt.deadline + RESPONSE_MARGIN_SECONDS - self.clock.now(), 0.0)
