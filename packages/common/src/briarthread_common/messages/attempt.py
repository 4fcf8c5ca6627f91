"""An attempt to run a request through an agent."""

from dataclasses import dataclass

from briarthread_common.utils.hashing import stable_hash

ATTEMPT_HEADER = "briarthread-attempt"
RESULT_HEADER = "briarthread-result"
LOAD_HEADER = "briarthread-load"
ANSWERED = "answered"
"""Result of an attempt that has a response; other results are error kinds."""
NO_SHARE = -1


@dataclass(frozen=True, slots=True)
class Attempt:
    """
    Describe an attempt; it is sent as JSON in a header.

    ``key`` identifies the request across its attempts. It is derived from the
    account and the caller's idempotency key or, if ``keyed`` is false, random;
    ``id`` is random and identifies this attempt.
    ``incarnation`` is that of the intended agent; any other one refuses the
    attempt. ``deadline`` is a Unix time in seconds. ``share`` and ``share_version``
    identify the row under which the agent holds the key, as far as the entry knows.
    """

    key: str
    id: str
    service: str
    incarnation: str
    deadline: float
    account: str
    method: str
    path: str
    idempotent: bool
    keyed: bool
    weight: float = 1.0
    priority: int = 0
    share: int = NO_SHARE
    share_version: int = 0

    def fingerprint(self, body: bytes) -> int:
        """Return a hash of the request, which detects a reused idempotency key."""
        return stable_hash(self.method, self.path, body.hex())
