"""Messages between entries to acquire limit tokens of a rate-limited target."""

from dataclasses import dataclass

from briarthread_common.messages.limit_report import LimitReport

TOKENS_PATH = "/peer/v1/limit-tokens"
"""Path at which the entry that issues a target's limit tokens is asked for one."""


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """
    Ask for a token for one attempt at a target.

    ``word`` is what the sender knows of the limit; ``wait`` is how many seconds it
    may wait. ``cold_left`` is the number of seconds for which attempts at the target
    still need tokens because it is or was cold, according to its row, its responses or
    an event known to the sender; 0.0 if none of them says so. ``started_ms`` is the
    start time of the target's run as the sender knows it, ``None`` if it is not stated.
    """

    asker: str
    target: str
    word: LimitReport
    wait: float = 0.0
    cold_left: float = 0.0
    started_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TokenAnswer:
    """
    Grant an attempt after ``pause`` seconds, or ask for a retry after them.

    ``word`` is what the issuer knows of the limit. ``cold_left`` is as in the request,
    from all that the issuer knows. It is 0.0 in the answer of an entry that issues no
    tokens for cold targets, for example of an entry that does not know of them.
    """

    granted: bool
    pause: float
    word: LimitReport | None = None
    cold_left: float = 0.0
