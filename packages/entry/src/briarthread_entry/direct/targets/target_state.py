"""State that an entry keeps for a direct target."""

from dataclasses import dataclass, field

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.utils.decaying_mean import DecayingMean
from briarthread_common.utils.doubled_pause import doubled_pause
from briarthread_entry.direct.targets.load_durations import LoadDurations
from briarthread_entry.direct.targets.probe_schedule import ProbeSchedule
from briarthread_entry.direct.targets.target_condition import TargetCondition
from briarthread_entry.direct.targets.target_presence import TargetPresence
from briarthread_entry.direct.targets.unanswered_attempts import UnansweredAttempts

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
    ``presence`` is the evidence that the target answers at its address. ``ended`` is
    true if the target was restarted and has a new state. ``removed_at`` is the time
    when the target was removed from the platform's list. Times are in seconds on the
    event loop's clock. ``condition``, ``durations`` and ``probe`` are kept for targets
    of plain services only.
    """

    target: DirectTarget
    running: int = 0
    prompt_tokens: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    removed_at: float | None = None
    presence: TargetPresence = field(default_factory=lambda: TargetPresence(0.0))
    ended: bool = False
    failure_share: DecayingMean = field(
        default_factory=lambda: DecayingMean(SAMPLE_WEIGHT)
    )
    response_seconds: DecayingMean = field(
        default_factory=lambda: DecayingMean(SAMPLE_WEIGHT)
    )
    condition: TargetCondition = TargetCondition.NORMAL
    durations: LoadDurations = field(default_factory=LoadDurations)
    unanswered: UnansweredAttempts = field(default_factory=UnansweredAttempts)
    probe: ProbeSchedule = field(default_factory=ProbeSchedule)

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
        duration = doubled_pause(
            BASE_EJECTION_SECONDS, self.ejections - 1, MAX_EJECTION_SECONDS
        )
        self.ejected_until = now + duration
        return True

    def is_usable(self) -> bool:
        """Return whether the target itself accepts new requests, as far as known."""
        return not self.target.leaving and not self.ended

    def fill(self, running: int) -> float:
        """Return the share of the slots that running attempts use, 1.0 if all."""
        return running / max(self.target.slots, 1)

    def cost(self, seconds: float, running: int) -> float:
        """
        Return what one more call costs in comparison with other targets, in seconds.

        ``seconds`` is the usual duration of a call, ``running`` the number of attempts
        of all entries. The cost grows with the load, and includes the retries of calls
        that fail at the current failure rate.
        """
        return (
            seconds * (1 + self.fill(running)) / max(1 - self.failure_share.value, 0.05)
        )
