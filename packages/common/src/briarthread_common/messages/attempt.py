"""One attempt to run a request on one agent."""

from dataclasses import dataclass

from briarthread_common.utils.hashing import stable_hash

ATTEMPT_HEADER = "briarthread-attempt"
RESULT_HEADER = "briarthread-result"
LOAD_HEADER = "briarthread-load"
ANSWERED = "answered"
"""The result of an attempt that has an answer; others name an error kind."""
NO_SHARE = -1


@dataclass(frozen=True, slots=True)
class Attempt:
    """
    Describe an attempt; it travels as JSON in a header beside the body.

    ``key`` names the request across attempts and is made from the account
    and the caller's idempotency key, or drawn at random (``keyed`` false);
    ``id`` is drawn at random for this attempt alone.
    ``incarnation`` is that of the agent it is meant for; any other refuses
    it. ``deadline`` is Unix time in seconds. ``share`` and ``share_version``
    name the row under which the entry believes that the agent holds the key.
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
        """Return a hash of what is asked, to notice a key used twice."""
        return stable_hash(self.method, self.path, body.hex())
