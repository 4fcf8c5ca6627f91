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

    A target accepts ``max_connections`` connections from all callers together.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    experts: ExpertLayout | None = None
