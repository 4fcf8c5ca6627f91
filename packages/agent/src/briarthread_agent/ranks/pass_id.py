"""A pass that a rank keeps its group from beginning."""

from dataclasses import dataclass

from briarthread_common.direct.rank_state import RankState


@dataclass(frozen=True, slots=True)
class PassId:
    """Name a held pass; its number means something in one epoch only."""

    epoch: int
    step: int

    @classmethod
    def held_by(cls, state: RankState) -> "PassId | None":
        """Return the pass that a rank holds."""
        return None if state.held is None else cls(state.epoch, state.held)
