"""Exception hierarchy of briarthread."""

from collections.abc import Sequence

from briarthread_common.core.check_message import CheckMessage
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.error_response import ERROR_RESPONSES
from briarthread_common.core.outcome import Outcome


class BriarthreadError(Exception):
    """Base class of briarthread's exceptions."""


class RequestError(BriarthreadError):
    """
    A request failed; ``kind`` states the reason.

    ``outcome`` and ``retry_after`` (in seconds) default to the values that
    ERROR_RESPONSES has for the kind.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        outcome: Outcome | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(f"{kind}: {detail}")
        response = ERROR_RESPONSES[kind]
        self.kind = kind
        self.detail = detail
        self.outcome = outcome or response.outcome
        self.retry_after = response.retry_after if retry_after is None else retry_after


class ChecksFailed(BriarthreadError):  # noqa: N818
    """Settings or a services text have faults; ``messages`` lists all of them."""

    def __init__(self, messages: Sequence[CheckMessage]) -> None:
        super().__init__("\n".join(str(message) for message in messages))
        self.messages = tuple(messages)


class ChannelError(BriarthreadError):
    """A call to another process failed."""


class RequestNotSentError(ChannelError):
    """Nothing of the call was sent, so the server cannot have received it."""


class ConnectionRefused(RequestNotSentError):  # noqa: N818
    """The connection was refused: no process listens on the address."""


class BrokenCallError(ChannelError):
    """The call failed after some of it may have been sent."""


class InvalidResponseError(BrokenCallError):
    """A response was received but isn't a valid response to the call."""


class ForeignResponseError(InvalidResponseError):
    """The response belongs to another call."""


class PlatformError(BriarthreadError):
    """The platform did not answer, or its answer violates its interface."""


class DecodeError(BriarthreadError):
    """What another program has written cannot be read or is not what it should be."""


class RankError(BriarthreadError):
    """A rank's engine gave no valid answer."""


class HistoryTruncatedError(BriarthreadError):
    """The platform no longer has the changes since the requested version."""


class ConflictError(BriarthreadError):
    """A check of a transaction failed; none of its writes took effect."""


class ListenError(BriarthreadError):
    """The process cannot listen on the configured address."""


class FeedGapError(BriarthreadError):
    """A patch is based on a newer version than the feed has."""
