"""What entries say to each other before an attempt at a target with a limit."""

from dataclasses import dataclass

from briarthread_common.messages.limit_report import LimitReport

TOKENS_PATH = "/peer/v1/limit-tokens"
"""Where an entry asks the one that deals a target's limit."""


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """
    Ask for one attempt at a target.

    ``word`` is what the asker knows of the limit; ``wait`` is how many seconds it is
    ready to wait.
    """

    asker: str
    target: str
    word: LimitReport
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class TokenAnswer:
    """
    Grant an attempt after ``pause`` seconds, or say after how many to ask again.

    ``word`` is what the dealer knows of the limit.
    """

    granted: bool
    pause: float
    word: LimitReport | None = None
