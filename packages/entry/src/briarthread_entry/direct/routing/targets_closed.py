"""Exception raised when no target accepts a request."""

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import BriarthreadError


class TargetsClosed(BriarthreadError):  # noqa: N818
    """
    No target accepts a request now because of rate limits or backoffs.

    ``opens_in`` is the number of seconds until the first target accepts requests again,
    ``kind`` the reason why it does not until then.
    """

    def __init__(self, kind: ErrorKind, opens_in: float) -> None:
        super().__init__(f"no target takes a request for {opens_in:.3f} s")
        self.kind = kind
        self.opens_in = opens_in
