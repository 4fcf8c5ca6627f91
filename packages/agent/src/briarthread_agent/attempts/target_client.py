"""Calls to the agent's target."""

from collections.abc import Callable

from briarthread_agent.attempts.response_buffer import Headers, ResponseBuffer
from briarthread_agent.limits.target_backoff import TargetBackoff
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import (
    BrokenCallError,
    ForeignResponseError,
    RequestError,
    RequestNotSentError,
)
from briarthread_common.core.outcome import Outcome
from briarthread_common.direct.response_signals import read_response_signals
from briarthread_common.http.channel import Channel, ChannelRequest, ChannelResponse
from briarthread_common.http.forwarded_headers import FORWARDED_RESPONSE_HEADERS
from briarthread_common.messages.attempt import Attempt

LEAVING_HEADER = "target-leaving"
"""Response header in which a target announces that it is shutting down."""
ATTEMPT_ID_HEADER = "briarthread-attempt-id"
"""Request header with the attempt's id, which a target may return in its responses."""


class TargetClient:
    """
    Run attempts on the target and buffer its responses.

    ``on_leaving`` is called for each response that announces the target's shutdown.
    ``returns_ids`` is whether the target's last response contained an attempt's id.
    """

    def __init__(
        self,
        channel: Channel,
        address: str,
        backoff: TargetBackoff,
        on_leaving: Callable[[], None],
    ) -> None:
        self.channel = channel
        self.address = address
        self.backoff = backoff
        self.on_leaving = on_leaving
        self.returns_ids = False

    async def run(
        self, attempt: Attempt, headers: Headers, body: bytes, buffer: ResponseBuffer
    ) -> None:
        """
        Send the request and fill the buffer; never raise a channel's error.

        The outcome is ``not-run`` if the target was never reached, and unknown after
        any other failure.

        A response without an id may belong to an earlier call on its connection. A
        request that may run only once is therefore sent over a new connection unless
        the target returns ids.
        """
        request = ChannelRequest(
            attempt.method,
            self.address,
            attempt.path,
            (*headers, (ATTEMPT_ID_HEADER, attempt.id)),
            body,
            new_connection=not attempt.idempotent and not self.returns_ids,
        )
        try:
            async with self.channel.stream(request) as response:
                self._check_attempt_id(attempt, response)
                self._note_signals(response)
                buffer.start(response.status, _relayed_headers(response.headers))
                async for chunk in response.body:
                    buffer.add(chunk)
            buffer.finish()
        except RequestNotSentError as error:
            buffer.fail(RequestError(ErrorKind.NO_TARGET, str(error)))
        except BrokenCallError as error:
            buffer.fail(
                RequestError(
                    ErrorKind.TARGET_FAILED, str(error), outcome=Outcome.UNKNOWN
                )
            )
        except RequestError as error:
            buffer.fail(error)

    def _check_attempt_id(self, attempt: Attempt, response: ChannelResponse) -> None:
        """Raise ForeignResponseError if the response belongs to another call."""
        ids = {value for name, value in response.fields if name == ATTEMPT_ID_HEADER}
        returned_ids, self.returns_ids = self.returns_ids, bool(ids)
        if ids - {attempt.id}:
            raise ForeignResponseError("response to another attempt")
        if returned_ids and not ids:
            raise ForeignResponseError("response without the id of the attempt")

    def _note_signals(self, response: ChannelResponse) -> None:
        signals = read_response_signals(response, LEAVING_HEADER)
        self.backoff.note_response(signals)
        if signals.leaving:
            self.on_leaving()


def _relayed_headers(headers: object) -> Headers:
    return tuple((k, v) for k, v in headers.items() if k in FORWARDED_RESPONSE_HEADERS)
