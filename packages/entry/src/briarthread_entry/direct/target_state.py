"""State that an entry keeps for a direct target."""

from dataclasses import dataclass, field

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.utils.decaying_mean import DecayingMean

EJECTION_FAILURES = 2
"""Consecutive failures after which a target is ejected. Healthy targets occasionally
fail once."""
BASE_EJECTION_SECONDS = 1.0
"""Duration of the first ejection in seconds. A crashed target is restarted or replaced
within seconds."""
MAX_EJECTION_SECONDS = 4.0
"""Longest ejection in seconds. A longer one would leave recovered targets unused."""
SAMPLE_WEIGHT = 0.15
"""Weight of one sample in the moving averages, which then cover about seven
responses."""
DEFAULT_RESPONSE_SECONDS = 0.05
"""Response time in seconds assumed before the first response, typical of a call to a
plain target."""


@dataclass(slots=True, eq=False)
class DirectTargetState:
    """
    Hold a target and this entry's observations of it.

    ``running`` is the number of attempts that this entry is running at the target.
    ``replaced`` is true if another target answers at its address, ``ended`` if the
    target was restarted and has a new state. ``removed_at`` is the time when the target
    was removed from the platform's list. Times are in seconds on the event loop's
    clock.
    """

    target: DirectTarget
    running: int = 0
    prompt_tokens: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    removed_at: float | None = None
    replaced: bool = False
    ended: bool = False
    failure_share: DecayingMean = field(
        default_factory=lambda: DecayingMean(SAMPLE_WEIGHT)
    )
    response_seconds: DecayingMean = field(
        default_factory=lambda: DecayingMean(SAMPLE_WEIGHT)
    )

    def note_success(self, seconds: float) -> None:
        """Record a successful attempt and its duration."""
        self.failures = 0
        self.ejections = 0
        self.failure_share.add(0.0)
        self.response_seconds.add(seconds)

    def note_failure(self, now: float) -> bool:
        """Record a failed attempt and return whether it ejects the target."""
        self.failure_share.add(1.0)
        self.failures += 1
        if self.failures < EJECTION_FAILURES:
            return False
        self.failures = 0
        self.ejections += 1
        duration = min(
            BASE_EJECTION_SECONDS * 2 ** (self.ejections - 1), MAX_EJECTION_SECONDS
        )
        self.ejected_until = now + duration
        return True

    def is_usable(self) -> bool:
        """Return whether the target may get new requests, apart from ejections."""
        return not self.target.leaving and not self.replaced and not self.ended

    def cost(self, running_elsewhere: int) -> float:
        """
        Return the expected duration of one more call in seconds.

        The duration includes the retries of calls that fail at the current failure
        rate.
        """
        seconds = (
            self.response_seconds.value
            if self.response_seconds.samples
            else DEFAULT_RESPONSE_SECONDS
        )
        total_running = self.running + running_elsewhere
        slots = max(self.target.slots, 1)
        return (
            seconds
            * (1 + total_running / slots)
            / max(1 - self.failure_share.value, 0.05)
        )
