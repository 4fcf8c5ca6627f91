"""HTTP handlers for attempts and revokes."""

from dataclasses import dataclass
from functools import partial

import msgspec

from briarthread_agent.attempts.attempt_runner import AttemptRunner
from briarthread_agent.attempts.record import Record
from briarthread_agent.attempts.response_buffer import Headers
from briarthread_agent.reports.load_reporter import LoadReporter
from briarthread_common.core.decoding import decode_json
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.error_response import ERROR_RESPONSES
from briarthread_common.core.exceptions import DecodeError, RequestError
from briarthread_common.core.metrics import Metrics
from briarthread_common.http.app import ResponseAborted
from briarthread_common.http.call import Call
from briarthread_common.http.forwarded_headers import (
    FORWARDED_REQUEST_HEADERS,
    STREAM_CONTENT_TYPE,
)
from briarthread_common.messages.attempt import (
    ANSWERED,
    ATTEMPT_HEADER,
    LOAD_HEADER,
    RESULT_HEADER,
    Attempt,
)
from briarthread_common.messages.revoke import RevokeAnswer, RevokeRequest
from briarthread_common.text.service import Service
from briarthread_common.text.text_view import TextView

MAX_REVOKE_BYTES = 4096


@dataclass(frozen=True, slots=True)
class _Submission:
    """An attempt as it was received, with the request to send to the target."""

    attempt: Attempt
    service: Service
    headers: Headers
    body: bytes


class AttemptHandler:
    """Handle attempts and revokes sent by entries."""

    def __init__(
        self,
        runner: AttemptRunner,
        reporter: LoadReporter,
        text: TextView,
        service: str,
        metrics: Metrics,
    ) -> None:
        self.runner = runner
        self.reporter = reporter
        self.text = text
        self.service = service
        self.metrics = metrics

    async def handle_attempt(self, call: Call) -> None:
        """Run an attempt and send its response, or refuse it at once."""
        try:
            submission = await self._read(call)
        except RequestError as error:
            await self._refuse(call, error)
            return
        await call.run_until_disconnect(partial(self._serve, call, submission))

    async def handle_revoke(self, call: Call) -> None:
        """Revoke an attempt that has not started."""
        request = await call.read_json(RevokeRequest, MAX_REVOKE_BYTES)
        if request.incarnation != self.reporter.incarnation:
            raise RequestError(
                ErrorKind.WRONG_INCARNATION, "revoke is for another incarnation"
            )
        state = self.runner.record_store.revoke(request)
        await call.reply_json(RevokeAnswer(state))

    async def _read(self, call: Call) -> _Submission:
        attempt = _read_attempt(call)
        if attempt.incarnation != self.reporter.incarnation:
            raise RequestError(
                ErrorKind.WRONG_INCARNATION, "attempt is for another incarnation"
            )
        service = self.text.current().services.get(self.service)
        if service is None or attempt.service != self.service:
            raise RequestError(
                ErrorKind.UNKNOWN_SERVICE, f"{attempt.service} is not served here"
            )
        headers = tuple(
            (k, v) for k, v in call.headers.items() if k in FORWARDED_REQUEST_HEADERS
        )
        body = await call.read_body(service.body_bytes)
        return _Submission(attempt, service, headers, body)

    async def _serve(self, call: Call, submission: _Submission) -> None:
        try:
            await self._run(call, submission)
        except RequestError as error:
            if call.started:
                raise ResponseAborted(str(error)) from error
            await self._refuse(call, error)

    async def _run(self, call: Call, submission: _Submission) -> None:
        record = self.runner.submit(
            submission.attempt, submission.service, submission.headers, submission.body
        )
        record.readers += 1
        try:
            await self._send_response(call, record)
        finally:
            self.runner.remove_reader(record)

    async def _send_response(self, call: Call, record: Record) -> None:
        response = record.response
        await response.wait_for_head()
        is_stream = (
            dict(response.headers)
            .get("content-type", "")
            .startswith(STREAM_CONTENT_TYPE)
        )
        if not is_stream:
            await response.wait_for_end()
        head = [*response.headers, (RESULT_HEADER, ANSWERED), self._load_header()]
        if response.finished:
            await call.reply(response.status, b"".join(response.chunks), head)
            return
        await call.start(response.status, head)
        async for chunk in response.read():
            await call.send_chunk(chunk)
        await call.finish()

    async def _refuse(self, call: Call, error: RequestError) -> None:
        self.metrics.refusals.labels(str(error.kind)).inc()
        headers = [(RESULT_HEADER, str(error.kind)), self._load_header()]
        await call.reply_error(error, ERROR_RESPONSES[error.kind].status, headers)

    def _load_header(self) -> tuple[str, str]:
        report = msgspec.json.encode(self.reporter.report())
        return (LOAD_HEADER, report.decode())


def _read_attempt(call: Call) -> Attempt:
    raw = call.headers.get(ATTEMPT_HEADER, "")
    try:
        return decode_json(raw, Attempt)
    except DecodeError as error:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"invalid attempt header: {error}"
        ) from error
