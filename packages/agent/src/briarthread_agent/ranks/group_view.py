"""What the ranks of a group said at one time."""

from dataclasses import dataclass

from briarthread_agent.ranks.pass_id import PassId
from briarthread_common.direct.rank_state import RankState
from briarthread_common.messages.rank_messages import RankAnswer
from briarthread_common.utils.host_of import host_of

SLOW_RANK_FACTOR = 1.5
"""How many times longer than usual a rank must take to count as slow: less
costs callers less than leaving the rank out would."""


@dataclass(frozen=True, slots=True)
class Member:
    """One rank's answer, and the address of the agent that gave it."""

    address: str
    answer: RankAnswer

    @property
    def state(self) -> RankState:
        """Return the rank's state, which every member of a view has."""
        if self.answer.state is None:
            raise ValueError(f"{self.address} gave no state")
        return self.answer.state


@dataclass(frozen=True, slots=True)
class GroupView:
    """
    Hold the answers of all ranks of a group in the order of the ranks.

    ``fault`` says why the group cannot be changed now, or is empty. ``unresponsive``
    holds the addresses of agents that gave no answer, so that their engines
    were asked instead.
    """

    members: tuple[Member, ...]
    fault: str = ""
    unresponsive: frozenset[str] = frozenset()

    @property
    def epoch(self) -> int:
        """Return how often the group was formed."""
        return self.members[0].state.epoch

    @property
    def step(self) -> int:
        """Return the last pass that any rank has begun."""
        return max(member.state.step for member in self.members)

    @property
    def incomplete(self) -> bool:
        """Tell whether some rank of the group did not answer."""
        return not self.members or len(self.members) < self.members[0].state.size

    @property
    def held_passes(self) -> set[PassId]:
        """Return the passes that some rank holds."""
        return {PassId.held_by(member.state) for member in self.members} - {None}

    @property
    def change_pending(self) -> bool:
        """Tell whether a change was begun and not brought to its end."""
        return any(
            member.state.armed is not None or member.state.held is not None
            for member in self.members
        )

    @property
    def broken(self) -> bool:
        """Tell whether some rank says that the group does not serve."""
        return _is_broken(self.members)

    def slow_ranks(self) -> dict[str, float]:
        """Return the ranks that are clearly slow by their host, see GroupReport."""
        return {
            host_of(member.address): round(member.state.slowdown, 2)
            for member in self.members
            if member.state.slowdown >= SLOW_RANK_FACTOR
        }

    def newest_version(self) -> int:
        """
        Return the highest version that any rank names or was ever sent.

        A rank takes none up to that, also one that comes from another group.
        """
        return max(
            max(
                member.state.map_version,
                member.state.prepared or 0,
                member.answer.newest_version,
            )
            for member in self.members
        )


def build_view(
    group: str, answers: dict[str, RankAnswer], silent: frozenset[str] = frozenset()
) -> GroupView:
    """Return the view of a group from its agents' answers by address."""
    members = tuple(
        sorted(
            (
                Member(address, answer)
                for address, answer in answers.items()
                if answer.state is not None and answer.state.group == group
            ),
            key=lambda member: member.state.rank,
        )
    )
    return GroupView(members, _fault(members, answers), silent)


def _is_broken(members: tuple[Member, ...]) -> bool:
    return not all(member.state.serving for member in members)


def _fault(members: tuple[Member, ...], answers: dict[str, RankAnswer]) -> str:
    if not all(answer.accepted for answer in answers.values()):
        return "a newer planner was heard"
    if not members:
        return "no rank answered"
    size = members[0].state.size
    if [member.state.rank for member in members] != list(range(size)):
        return f"{len(members)} of {size} ranks answered"
    if len({member.state.epoch for member in members}) > 1:
        return "the group is forming"
    if _is_broken(members):
        return "the group is broken"
    return ""
