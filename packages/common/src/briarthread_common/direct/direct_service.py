"""Service whose targets are called directly."""

from dataclasses import dataclass

from briarthread_common.direct.engine_profile import EngineProfile
from briarthread_common.direct.expert_layout import ExpertLayout


@dataclass(frozen=True, slots=True)
class DirectService:
    """
    A service whose targets are called directly.

    ``engine`` is set for model engines only, ``experts`` only for those whose experts
    are distributed over ranks.

    A target accepts ``max_connections`` connections from all callers together. It is
    cold for ``cold_seconds`` after its start and then tolerates ``cold_rate`` requests
    per second from all entries together; 0.0 means that the service has no such limit.
    ``priorities`` are the distinct priorities of the routes to the service, the most
    urgent first. A ``GET`` request to ``health_path`` is answered with the target's
    name; it is empty if the service has none.

    >>> DirectService("model", 100, priorities=(0, 2)).has_priorities
    True
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    experts: ExpertLayout | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    priorities: tuple[int, ...] = ()
    health_path: str = ""

    @property
    def has_priorities(self) -> bool:
        """Tell whether the routes to the service differ in priority."""
        return len(self.priorities) > 1
