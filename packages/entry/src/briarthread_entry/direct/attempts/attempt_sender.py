"""Sending of a single attempt to a direct target."""

import contextlib

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import (
    BrokenCallError,
    ChannelError,
    ForeignResponseError,
    InvalidResponseError,
    RequestError,
    RequestNotSentError,
)
from briarthread_common.direct.call_kind import CallKind
from briarthread_common.direct.header_names import HeaderNames
from briarthread_common.direct.response_signals import read_response_signals
from briarthread_common.http.channel import Channel, ChannelRequest, ChannelResponse
from briarthread_common.http.channel_calls import discard_bounded
from briarthread_entry.direct.attempts.attempt_outcome import (
    MISDIRECTED_REQUEST,
    DirectOutcome,
    NotRun,
    OutcomeUnknown,
    StreamRelayed,
    TargetResponse,
)
from briarthread_entry.direct.limits.cold_targets import ColdTargets
from briarthread_entry.direct.limits.target_backoffs import TargetBackoffs
from briarthread_entry.direct.limits.target_limits import TargetLimits
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.responses.event_reader import EventReader
from briarthread_entry.direct.responses.read_response import read_response
from briarthread_entry.direct.responses.response_relay import (
    HeaderFields,
    ResponseRelay,
)
from briarthread_entry.direct.targets.leaving_targets import LeavingTargets
from briarthread_entry.direct.targets.target_checker import TargetChecker
from briarthread_entry.direct.targets.target_state import DirectTargetState

DROPPED_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "trailer"}
)
"""Response headers that concern only the connection to the target."""
STREAM_STATUS = 200
MAX_REFUSAL_BYTES = 64 * 1024
"""Largest body of a refusal that is read, in bytes."""
MAX_REFUSAL_SECONDS = 0.1
"""Longest time in seconds for which that body is read. Its head says all that counts,
and the caller's next attempt waits."""


class AttemptSender:
    """Send attempts and determine their outcome."""

    def __init__(
        self,
        channel: Channel,
        names: HeaderNames,
        limits: TargetLimits,
        backoffs: TargetBackoffs,
        leaving_targets: LeavingTargets,
        cold_targets: ColdTargets,
        checker: TargetChecker,
    ) -> None:
        self.channel = channel
        self.names = names
        self.limits = limits
        self.backoffs = backoffs
        self.leaving_targets = leaving_targets
        self.cold_targets = cold_targets
        self.checker = checker

    async def send(
        self, request: DirectRequest, state: DirectTargetState, relay: ResponseRelay
    ) -> DirectOutcome:
        """Send one attempt; the events of a stream are relayed as they arrive."""
        channel_request = self._build_request(request, state, relay)
        sent_at = anyio.current_time()
        try:
            with (
                self.backoffs.attempt(state.target.name),
                state.unanswered.attempt(sent_at) as number,
            ):
                async with self.channel.stream(channel_request) as response:
                    self._check_request_id(request, response)
                    self._record_head(state, response, sent_at, number)
                    relay.note_head(response.call_number)
                    outcome = await self._read(request, state, response, relay, number)
                    state.unanswered.note_answer(number, anyio.current_time())
                    return outcome
        except RequestNotSentError as error:
            return NotRun(_request_error(ErrorKind.NO_TARGET, error), written=False)
        except ForeignResponseError as error:
            return OutcomeUnknown(
                _request_error(ErrorKind.TARGET_FAILED, error), foreign_response=True
            )
        except InvalidResponseError as error:
            return OutcomeUnknown(_request_error(ErrorKind.TARGET_FAILED, error))
        except ChannelError as error:
            return OutcomeUnknown(
                _request_error(ErrorKind.TARGET_FAILED, error), connection_lost=True
            )

    async def _read(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        response: ChannelResponse,
        relay: ResponseRelay,
        number: int,
    ) -> DirectOutcome:
        names = self.names
        headers = response.headers
        if names.not_run in headers or response.status == MISDIRECTED_REQUEST:
            has_ended = await _discard_refusal(response)
            misdirected = response.status == MISDIRECTED_REQUEST
            # One that meant another target or version says nothing of the group.
            faulty_rank = "" if misdirected else headers.get(names.faulty_target, "")
            kind = ErrorKind.GROUP_BROKEN if faulty_rank else ErrorKind.OVERLOADED
            return NotRun(
                RequestError(
                    kind, f"target refused the request: {response.status} {faulty_rank}"
                ),
                misdirected=misdirected,
                faulty_rank=faulty_rank,
                has_ended=has_ended,
            )
        self._check_response(response)
        forwarded = tuple(f for f in response.fields if f[0] not in DROPPED_HEADERS)
        if request.route.kind is CallKind.STREAM and response.status == STREAM_STATUS:
            state.unanswered.note_answer(number, anyio.current_time())
            await self._relay_stream(request, response, forwarded, relay)
            return StreamRelayed(relay.first_event_at, relay.longest_pause)
        body = await read_response(
            request,
            response,
            lambda: state.unanswered.note_progress(number, anyio.current_time()),
        )
        return TargetResponse(response.status, forwarded, body)

    def _check_request_id(
        self, request: DirectRequest, response: ChannelResponse
    ) -> None:
        """Raise an error for a response that does not name this request alone."""
        ids = _values(response, self.names.request_id) or {""}
        if ids == {request.id}:
            return
        kind = (
            ForeignResponseError if response.call_number > 1 else InvalidResponseError
        )
        raise kind("response to another request or without a request id")

    def _record_head(
        self,
        state: DirectTargetState,
        response: ChannelResponse,
        sent_at: float,
        number: int,
    ) -> None:
        """
        Record what the head of a response says of the target.

        A 421 may come from another target, and a run that has ended says nothing of
        the one that followed.
        """
        if state.ended:
            return
        if response.status == MISDIRECTED_REQUEST:
            self.checker.note_refusal(state, sent_at)
            return
        state.presence.note_answer(sent_at)
        name = state.target.name
        now = anyio.current_time()
        state.unanswered.note_progress(number, now)
        limit_values = [
            raw for field, raw in response.fields if field == self.names.rate_limit
        ]
        self.limits.note_response(
            name, ",".join(limit_values) if limit_values else None, sent_at, now
        )
        signals = read_response_signals(response, self.names.leaving)
        self.backoffs.note_response(name, signals, now)
        if signals.leaving:
            self.leaving_targets.note_leaving(name)
        if self.names.cold_time in response.headers:
            values = [
                raw for field, raw in response.fields if field == self.names.cold_time
            ]
            self.cold_targets.note_response(name, values, now)

    def _check_response(self, response: ChannelResponse) -> None:
        """Raise InvalidResponseError for a success that the target did not produce."""
        if response.status >= 300:
            return
        if len(_values(response, self.names.target_stamp)) != 1:
            raise InvalidResponseError(
                "success response without one signature of the target"
            )
        if response.headers.get("content-encoding", "identity") != "identity":
            raise InvalidResponseError("response has an unrequested content encoding")

    async def _relay_stream(
        self,
        request: DirectRequest,
        response: ChannelResponse,
        headers: HeaderFields,
        relay: ResponseRelay,
    ) -> None:
        reader = EventReader()
        async for chunk in response.body:
            relay.note_read()
            for event in reader.feed(chunk, anyio.current_time()):
                await relay.forward_event(response.status, headers, event)
            if request.held is not None:
                await request.held.cover_event(len(reader.buffer), request.id)
        _check_stream_end(response, reader, relay)
        await relay.finish(response.status, headers)

    def _build_request(
        self, request: DirectRequest, state: DirectTargetState, relay: ResponseRelay
    ) -> ChannelRequest:
        names = self.names
        time_left = max(request.deadline - anyio.current_time(), 0.0)
        headers = [*request.headers, (names.time_left, str(int(time_left * 1000)))]
        headers.append((names.expected_target, state.target.name))
        if request.account:
            headers.append((names.account_name, _as_field(request.account)))
        if relay.last_event_id is not None:
            headers.append((names.resume_from, str(relay.last_event_id)))
        return ChannelRequest(
            request.method,
            state.target.address,
            request.path,
            tuple(headers),
            request.body,
            new_connection=not (request.route.retryable and request.id),
        )


def _values(response: ChannelResponse, name: str) -> set[str]:
    """Return the values of a header field, which may come several times."""
    return {value for field, value in response.fields if field == name}


async def _discard_refusal(response: ChannelResponse) -> bool:
    """
    Read a refusal to its end, so that its connection is kept, if it ends soon.

    Return whether it has ended.
    """
    with (
        anyio.move_on_after(MAX_REFUSAL_SECONDS),
        contextlib.suppress(ChannelError),
    ):
        await discard_bounded(response.body, MAX_REFUSAL_BYTES)
        return True
    return False


def _check_stream_end(
    response: ChannelResponse, reader: EventReader, relay: ResponseRelay
) -> None:
    """
    Raise an error if a stream ended within an event.

    The end of a connection that ends the body, too, is a lost connection if it comes
    within an event or before the first one.
    """
    if response.ends_with_connection and (
        reader.incomplete or not relay.progress.events
    ):
        raise BrokenCallError("the connection ended before the stream was complete")
    if reader.incomplete:
        raise InvalidResponseError("stream ended within an event")


def _as_field(text: str) -> str:
    """Return the characters that stand for the bytes of a text in UTF-8."""
    return text.encode().decode("latin-1")


def _request_error(kind: ErrorKind, error: Exception) -> RequestError:
    return RequestError(kind, str(error) or type(error).__name__)
