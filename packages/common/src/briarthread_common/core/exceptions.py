"""The exception tree of briarthread."""

from collections.abc import Sequence

from briarthread_common.core.check_message import CheckMessage
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.error_response import ERROR_RESPONSES
from briarthread_common.core.outcome import Outcome


class BriarthreadError(Exception):
    """Root of every exception that briarthread raises on purpose."""


class RequestError(BriarthreadError):
    """
    A request failed with a kind from the closed list.

    ``outcome`` and ``retry_after`` (seconds) default to the kind's row in
    the table of answers.
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
        row = ERROR_RESPONSES[kind]
        self.kind = kind
        self.detail = detail
        self.outcome = outcome or row.outcome
        self.retry_after = row.retry_after if retry_after is None else retry_after


class ChecksFailed(BriarthreadError):  # noqa: N818
    """Settings or a services text have faults; all are listed at once."""

    def __init__(self, messages: Sequence[CheckMessage]) -> None:
        super().__init__("\n".join(str(message) for message in messages))
        self.messages = tuple(messages)


class ChannelError(BriarthreadError):
    """A call to another process failed."""


class RequestNotSentError(ChannelError):
    """Nothing of the call was written: the other side cannot have seen it."""


class ConnectionRefused(RequestNotSentError):  # noqa: N818
    """The address refused the connection: no process listens there."""


class BrokenCallError(ChannelError):
    """The call broke after it may have been written."""


class InvalidResponseError(BrokenCallError):
    """The answer came, and is not a proper answer to the call."""


class PlatformError(BriarthreadError):
    """The platform did not answer, or not with what its interface states."""


class DecodeError(BriarthreadError):
    """A row of the platform is not what its interface states."""


class RankError(BriarthreadError):
    """A rank's engine gave no proper answer."""


class HistoryTruncatedError(BriarthreadError):
    """The platform no longer has the changes after the version asked for."""


class ConflictError(BriarthreadError):
    """A transaction's check did not hold; nothing of it took effect."""


class ListenError(BriarthreadError):
    """The address in the settings cannot be listened on."""


class FeedGapError(BriarthreadError):
    """A patch starts above the version that the feed has."""
