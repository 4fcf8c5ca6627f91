"""Description of a load on targets that change while it lasts."""

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


@dataclass(frozen=True, slots=True)
class SlowStep:
    """
    From ``at`` seconds on, calls to the first ``targets`` take ``delay`` seconds.

    Only calls count that come within ``seconds`` while ``running`` others are in
    progress. With a ``delay`` beyond the callers' deadlines, a target never answers.
    """

    at: float
    delay: float
    seconds: float = 1e6
    running: int = 0
    targets: int = 1


@dataclass(frozen=True, slots=True)
class ReleaseStep:
    """
    At ``at`` seconds, another target replaces the target of a number.

    Its calls take ``delay`` seconds during its first ``seconds``.
    """

    at: float
    target: int
    delay: float
    seconds: float


Step = LimitStep | RefusalStep | SlowStep | ReleaseStep


@dataclass(frozen=True, slots=True)
class LimitScenario:
    """
    Describe a load; times are in seconds from its start.

    ``rate`` requests per second arrive at ``entries`` in three data centres. The first
    entry gets ``first_entry_share`` of them, the others equal shares of the rest. At
    ``fault_at`` one entry is killed and restarted one second later (``restarted``) or
    isolated from all others for four seconds (``cut_off``). It is the first entry that
    others ask for limit tokens of the first target. A call to a plain target takes
    ``delay``, times a log-normal factor with ``delay_sigma``; ``kind`` is that of the
    route to a plain service.
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
    delay: float = 0.02
    delay_sigma: float = 0.0
    kind: str = "safe"
