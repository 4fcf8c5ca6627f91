"""The identity of a pass of a group."""

from dataclasses import dataclass

from briarthread_common.direct.rank_state import RankState


@dataclass(frozen=True, slots=True)
class PassId:
    """Identify a pass; its number is only unique within an epoch."""

    epoch: int
    step: int

    @classmethod
    def held_by(cls, state: RankState) -> "PassId | None":
        """Return the pass that a rank holds, if any."""
        return None if state.held is None else cls(state.epoch, state.held)
