"""Report of an agent to the planner on its group."""

from dataclasses import dataclass

from briarthread_common.messages.expert_map import ExpertMap

REPORT_PATH = "/agent/v1/maps/report"
ENGINE_REPORT_PATH = "/engine/v1/report"


@dataclass(frozen=True, slots=True)
class MapReport:
    """
    Active map of an engine, and the number of tokens of each expert.

    ``counts[layer][expert]`` counts the tokens of the whole group since the group
    started; each engine of the group knows them.
    """

    expert_map: ExpertMap
    counts: list[list[int]]
