"""Description of a load with prompts whose segments crash targets."""

from dataclasses import dataclass

CULPRIT, SECOND_CULPRIT = "dead", "deaf"
"""Ids of the segments that crash targets."""
FIRST_SEGMENT = "f1:40"
SHARED_SEGMENT = "b2:120"


@dataclass(frozen=True, slots=True)
class SegmentCrashScenario:
    """
    Describe a load of streams at entries in three data centres; times are in seconds.

    ``rate`` sound requests arrive per second, half of them of the account that also
    sends ``culprit_rate`` requests per second which crash their targets, from
    ``culprits_from`` on. Their prompts have the segments of ``culprits`` and ``sound``,
    taken in turn, and one of their own; ``*`` stands for an id that no other prompt
    has. A target crashes as ``events_before_crash`` says, see DirectWorker, is back
    after ``down_seconds``, is ``silent`` until then instead of ending its connections,
    and meanwhile stalls all others if they are in
    ``lock_step``. Callers repeat a refused request ``retries`` times. Each
    ``other_interval`` seconds ``other_crashes`` targets crash by themselves.

    ``restarted`` is the number of entries that are killed at ``disturbed_at`` and start
    again a second later; ``cut_seconds`` is for how long one data centre is cut off
    from then on.
    """

    entries: int = 9
    targets: int = 12
    lock_step: bool = True
    rate: float = 10.0
    culprit_rate: float = 1.0
    culprits_from: float = 4.0
    culprits: tuple[str, ...] = (f"{FIRST_SEGMENT},{CULPRIT}:300",)
    sound: tuple[str, ...] = (FIRST_SEGMENT, f"{FIRST_SEGMENT},{SHARED_SEGMENT}")
    events_before_crash: int | None = 0
    down_seconds: float = 3.0
    silent: bool = False
    retries: int = 1
    other_crashes: int = 0
    other_interval: float = 1.0
    restarted: int = 0
    cut_seconds: float = 0.0
    disturbed_at: float = 16.0
    seconds: float = 36.0
    seed: int = 1
