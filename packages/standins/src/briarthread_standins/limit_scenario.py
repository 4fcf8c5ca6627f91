"""Description of a load on targets that announce a limit or request backoff."""

from dataclasses import dataclass

from briarthread_standins.direct_config import MODEL


@dataclass(frozen=True, slots=True)
class LimitStep:
    """
    From ``at`` seconds on, the first ``targets`` targets announce ``limit``.

    ``None`` ends the announcement.
    """

    at: float
    limit: str | None
    targets: int = 1


@dataclass(frozen=True, slots=True)
class RefusalStep:
    """
    From ``at`` seconds on, the first ``targets`` refuse all requests for ``seconds``.

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

    ``rate`` requests per second arrive at ``entries`` in three data centres. The first
    entry gets ``first_entry_share`` of them, the others equal shares of the rest. At
    ``fault_at`` one entry is killed and restarted one second later (``restarted``) or
    isolated from all others for four seconds (``cut_off``). It is the first entry that
    others ask for limit tokens of the first target.
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
