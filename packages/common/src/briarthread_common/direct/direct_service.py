"""A service whose targets are called directly."""

from dataclasses import dataclass

from briarthread_common.direct.engine_profile import EngineProfile
from briarthread_common.direct.expert_layout import ExpertLayout


@dataclass(frozen=True, slots=True)
class DirectService:
    """
    Describe a service.

    ``engine`` is there for model engines only, and ``experts`` for those whose
    ranks share experts.

    A target takes ``max_connections`` from all callers together.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    experts: ExpertLayout | None = None
