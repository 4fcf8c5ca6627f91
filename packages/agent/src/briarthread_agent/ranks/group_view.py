"""A view of a group, built from the answers of its ranks at one time."""

from dataclasses import dataclass

from briarthread_agent.ranks.pass_id import PassId
from briarthread_common.direct.rank_state import RankState
from briarthread_common.messages.rank_messages import RankAnswer
from briarthread_common.utils.host_of import host_of

SLOW_RANK_FACTOR = 1.5
"""
Slowdown from which a rank counts as slow.

Below this, a slow rank costs callers less than excluding it would.
"""


@dataclass(frozen=True, slots=True)
class Member:
    """The answer of one rank and the address of its agent."""

    address: str
    answer: RankAnswer

    @property
    def state(self) -> RankState:
        """Return the rank's state, which is set in every member of a view."""
        if self.answer.state is None:
            raise ValueError(f"answer of {self.address} contains no rank state")
        return self.answer.state


@dataclass(frozen=True, slots=True)
class GroupView:
    """
    Hold the answers of all ranks of a group, ordered by rank.

    ``fault`` is the reason why the group's map cannot be changed now, or empty.
    ``unresponsive`` contains the addresses of agents that did not answer and whose
    engines were queried instead.
    """

    members: tuple[Member, ...]
    fault: str = ""
    unresponsive: frozenset[str] = frozenset()

    @property
    def epoch(self) -> int:
        """Return the group's epoch: the number of times that it was formed."""
        return self.members[0].state.epoch

    @property
    def step(self) -> int:
        """Return the latest pass that any rank has begun."""
        return max(member.state.step for member in self.members)

    @property
    def incomplete(self) -> bool:
        """Return whether any rank of the group did not answer."""
        return not self.members or len(self.members) < self.members[0].state.size

    @property
    def held_passes(self) -> set[PassId]:
        """Return the passes that are held by any rank."""
        return {PassId.held_by(member.state) for member in self.members} - {None}

    @property
    def change_pending(self) -> bool:
        """Return whether a map change was begun and is not complete yet."""
        return any(
            member.state.armed is not None or member.state.held is not None
            for member in self.members
        )

    @property
    def broken(self) -> bool:
        """Return whether any rank reports that the group is not serving."""
        return _is_broken(self.members)

    def slow_ranks(self) -> dict[str, float]:
        """Return the slowdown of each slow rank by host, see GroupReport."""
        return {
            host_of(member.address): round(member.state.slowdown, 2)
            for member in self.members
            if member.state.slowdown >= SLOW_RANK_FACTOR
        }

    def newest_version(self) -> int:
        """
        Return the highest version that any rank reports or was ever sent.

        Ranks reject all versions up to it, also a rank that joined from another group.
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
    group: str,
    answers: dict[str, RankAnswer],
    unresponsive: frozenset[str] = frozenset(),
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
    return GroupView(members, _fault(members, answers), unresponsive)


def _is_broken(members: tuple[Member, ...]) -> bool:
    return not all(member.state.serving for member in members)


def _fault(members: tuple[Member, ...], answers: dict[str, RankAnswer]) -> str:
    if not all(answer.accepted for answer in answers.values()):
        return "a newer planner is active"
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
