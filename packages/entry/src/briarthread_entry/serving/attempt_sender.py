"""Sending of one attempt and finding out what became of it."""

from dataclasses import dataclass, field

import anyio
import msgspec

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import (
    BrokenCallError,
    ChannelError,
    RequestError,
    RequestNotSentError,
)
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
    Answered,
    AttemptOutcome,
    Lost,
    NotRun,
)
from briarthread_entry.serving.caller_request import CallerRequest
from briarthread_entry.serving.read_outcome import (
    lost,
    read_refusal,
    revoked,
    too_late,
)

REVOKE_TIMEOUT = 0.5
ANSWER_MARGIN = 0.03
"""Seconds before the deadline at which the final answer is prepared."""
MAX_JOINS = 3
"""How often a broken connection to a running attempt is made anew."""


@dataclass(slots=True)
class _Progress:
    """What the sending task has reached."""

    head: anyio.Event = field(default_factory=anyio.Event)
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: AttemptOutcome | None = None


class AttemptSender:
    """
    Send an attempt to an agent and pass its answer to the caller.

    On silence or a broken connection the agent is asked to revoke the
    attempt; its word decides whether the request may go elsewhere.
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
        """Return how the attempt ended; the caller's deadline bounds it."""
        outcome: AttemptOutcome = lost("no answer")
        for _ in range(MAX_JOINS):
            outcome = await self._send_once(request, attempt, target, call)
            if not isinstance(outcome, Lost):
                return outcome
            if call.started:
                raise ResponseAborted("the answer broke off")
            if self._left(attempt) <= 0:
                return outcome
            verdict = await self._revoke(attempt, target)
            if verdict is RevokeState.REVOKED:
                return revoked()
            if verdict is None:
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
        return Answered() if call.finished else outcome

    async def _await_outcome(
        self,
        request: CallerRequest,
        attempt: Attempt,
        target: TargetState,
        progress: _Progress,
    ) -> AttemptOutcome:
        patience = min(request.service.patience, self._left(attempt))
        with anyio.move_on_after(patience):
            await progress.head.wait()
        if not progress.head.is_set():
            verdict = await self._revoke(attempt, target)
            if verdict is RevokeState.REVOKED:
                return revoked()
            if verdict is None:
                return lost("the agent is silent")
        with anyio.move_on_after(self._left(attempt)):
            await progress.done.wait()
        return progress.outcome or too_late()

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
            progress.outcome = lost(str(error))
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
        sent = ChannelRequest(
            "POST",
            target.instance.address,
            "/agent/v1/attempts",
            (*request.headers, (ATTEMPT_HEADER, header)),
            request.body,
        )
        async with self.channel.stream(sent) as response:
            progress.head.set()
            self._take_load(target, response)
            result = response.headers.get(RESULT_HEADER, "")
            if result != ANSWERED:
                return read_refusal(result, response)
            await self._pass_back(request, response, call)
        return Answered()

    async def _pass_back(
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
        """Return the agent's word on the attempt, ``None`` if it gives none."""
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
                REVOKE_TIMEOUT,
            )
        except ChannelError:
            return None
        return answer.state

    def _take_load(self, target: TargetState, response: ChannelResponse) -> None:
        raw = response.headers.get(LOAD_HEADER, "")
        try:
            report = msgspec.json.decode(raw, type=LoadReport)
        except msgspec.MsgspecError:
            return
        target.apply_report(report, self.clock.now())

    def _left(self, attempt: Attempt) -> float:
        return max(attempt.deadline + ANSWER_MARGIN - self.clock.now(), 0.0)
