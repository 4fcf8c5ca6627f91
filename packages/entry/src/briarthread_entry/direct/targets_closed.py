"""The error raised when no target accepts a request."""

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import BriarthreadError


class TargetsClosed(BriarthreadError):  # noqa: N818
    """
    No target accepts a request now, because of its limit or its backoff.

    ``opens_in`` is in how many seconds the first one opens, ``kind`` is the reason why
    it is closed until then.
    """

    def __init__(self, kind: ErrorKind, opens_in: float) -> None:
        super().__init__(f"no target takes a request for {opens_in:.3f} s")
        self.kind = kind
        self.opens_in = opens_in
