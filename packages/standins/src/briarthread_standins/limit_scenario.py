"""A load on targets of which some name a limit or request a backoff."""

from dataclasses import dataclass

from briarthread_standins.direct_config import MODEL


@dataclass(frozen=True, slots=True)
class LimitStep:
    """From ``at`` seconds on the first ``targets`` name ``limit``, or none any more."""

    at: float
    limit: str | None
    targets: int = 1


@dataclass(frozen=True, slots=True)
class RefusalStep:
    """
    From ``at`` seconds on the first ``targets`` refuse everything for ``seconds``.

    Each refusal is a 503 with a Retry-After of ``retry_after`` seconds.
    """

    at: float
    seconds: float
    targets: int = 1
    retry_after: float = 3.0


Step = LimitStep | RefusalStep


@dataclass(frozen=True, slots=True)
class LimitScenario:
    """
    Describe a load; times are in seconds from its start.

    ``rate`` requests a second come to ``entries`` in three data centres, the first
    entry getting ``first_entry_share`` of them and the others even parts. ``fault_at``
    is when one entry is killed and started again a second later (``restarted``), or cut
    off from all others for four seconds (``cut_off``): the first of those that are
    asked for room at the first target.
    """

    entries: int = 9
    targets: int = 12
    service: str = MODEL
    rate: float = 28.0
    seconds: float = 24.0
    steps: tuple[Step, ...] = (LimitStep(3.0, "1"),)
    first_entry_share: float = 0.3
    fault_at: float = 0.0
    restarted: bool = False
    cut_off: bool = False
    seed: int = 1
