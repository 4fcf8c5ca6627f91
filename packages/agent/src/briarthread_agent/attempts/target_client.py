"""Calls to the target that the agent stands before."""

from collections.abc import Callable

from briarthread_agent.attempts.response_buffer import Headers, ResponseBuffer
from briarthread_agent.limits.target_backoff import TargetBackoff
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import (
    BrokenCallError,
    NotWrittenError,
    RequestError,
)
from briarthread_common.core.outcome import Outcome
from briarthread_common.direct.answer_notice import read_notice
from briarthread_common.http.channel import Channel, ChannelRequest, ChannelResponse
from briarthread_common.http.passed_headers import PASSED_BACK
from briarthread_common.messages.attempt import Attempt

LEAVING_HEADER = "target-leaving"
"""Response header in which a target announces that it is shutting down."""


class TargetClient:
    """
    Run an attempt on the target and collect its answer.

    ``on_leaving`` is called for each response that announces the target's shutdown.
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

    async def run(
        self, attempt: Attempt, headers: Headers, body: bytes, answer: ResponseBuffer
    ) -> None:
        """
        Send the request and fill the answer; never raise a channel's error.

        A target that was never reached gives ``not-run``; any other failure
        leaves the outcome unknown.
        """
        request = ChannelRequest(
            attempt.method, self.address, attempt.path, headers, body
        )
        try:
            async with self.channel.stream(request) as response:
                self._note_head(response)
                answer.start(response.status, _passed_back(response.headers))
                async for chunk in response.body:
                    answer.add(chunk)
            answer.finish()
        except NotWrittenError as error:
            answer.fail(RequestError(ErrorKind.NO_TARGET, str(error)))
        except BrokenCallError as error:
            answer.fail(
                RequestError(
                    ErrorKind.TARGET_FAILED, str(error), outcome=Outcome.UNKNOWN
                )
            )
        except RequestError as error:
            answer.fail(error)

    def _note_head(self, response: ChannelResponse) -> None:
        notice = read_notice(response, LEAVING_HEADER)
        self.backoff.note_response(notice)
        if notice.leaving:
            self.on_leaving()


def _passed_back(headers: object) -> Headers:
    return tuple((k, v) for k, v in headers.items() if k in PASSED_BACK)
