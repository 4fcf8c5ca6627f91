"""What an entry knows of one direct target."""

from dataclasses import dataclass, field

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.utils.decaying_mean import DecayingMean

EJECTION_FAILURES = 2
"""Failures in a row after which a target is left out for a while: one alone
is what a sound target shows now and then."""
BASE_EJECTION_SECONDS = 1.0
"""First time out. A target that crashed is back or replaced within seconds."""
MAX_EJECTION_SECONDS = 4.0
"""Longest time out; beyond it a target that is well again stays unused."""
SAMPLE_WEIGHT = 0.15
"""Weight of one answer in the share of failures: some seven answers count."""
DEFAULT_RESPONSE_SECONDS = 0.05
"""Assumed time of an answer before the first; a plain call takes about that."""


@dataclass(slots=True, eq=False)
class DirectTargetState:
    """
    Hold a target with what was seen of it; times are the runtime's seconds.

    ``running`` counts the attempts that this entry has there now.
    ``removed_at`` is when the platform's list dropped the target.
    """

    target: DirectTarget
    running: int = 0
    prompt_tokens: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    removed_at: float | None = None
    replaced: bool = False
    failure_share: DecayingMean = field(
        default_factory=lambda: DecayingMean(SAMPLE_WEIGHT)
    )
    response_seconds: DecayingMean = field(
        default_factory=lambda: DecayingMean(SAMPLE_WEIGHT)
    )

    def note_success(self, seconds: float) -> None:
        """Record an answer and the seconds that it took."""
        self.failures = 0
        self.ejections = 0
        self.failure_share.add(0.0)
        self.response_seconds.add(seconds)

    def note_failure(self, now: float) -> bool:
        """Record a failed attempt; tell whether it ejects the target."""
        self.failure_share.add(1.0)
        self.failures += 1
        if self.failures < EJECTION_FAILURES:
            return False
        self.failures = 0
        self.ejections += 1
        pause = min(
            BASE_EJECTION_SECONDS * 2 ** (self.ejections - 1), MAX_EJECTION_SECONDS
        )
        self.ejected_until = now + pause
        return True

    def is_usable(self) -> bool:
        """Tell whether new work may be sent at all."""
        return not self.target.leaving and not self.replaced

    def cost(self, waiting_elsewhere: int) -> float:
        """
        Return the seconds that one more call is expected to take.

        A call that fails has to be made again, so a target that fails often
        costs as much more as that takes.
        """
        seconds = (
            self.response_seconds.value
            if self.response_seconds.samples
            else DEFAULT_RESPONSE_SECONDS
        )
        ahead = self.running + waiting_elsewhere
        slots = max(self.target.slots, 1)
        return seconds * (1 + ahead / slots) / max(1 - self.failure_share.value, 0.05)
