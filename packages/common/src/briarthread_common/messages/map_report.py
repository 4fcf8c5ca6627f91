"""What a planner learns of a group from one of its agents."""

from dataclasses import dataclass

from briarthread_common.messages.expert_map import ExpertMap

REPORT_PATH = "/agent/v1/maps/report"
ENGINE_REPORT_PATH = "/engine/v1/report"


@dataclass(frozen=True, slots=True)
class MapReport:
    """
    Hold the map that an engine is on and the tokens of each expert.

    ``counts[layer][expert]`` are the tokens of the whole group since the
    group began, which each of its engines knows.
    """

    expert_map: ExpertMap
    counts: list[list[int]]
