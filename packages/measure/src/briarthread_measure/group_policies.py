"""
Ways to choose the group that a request goes to, for comparison.

Each answers a service of several lock-step groups, of which one may be slower than
the others, or smaller: every request of a group waits for its slowest rank.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from briarthread_common.direct.group_id import GroupId


@dataclass(frozen=True, slots=True)
class GroupForecast:
    """A group's free room of ``most``, and its pass, s, with one request more."""

    free: int
    limit: int
    next_pass_seconds: float


GroupPolicy = Callable[[Mapping[GroupId, GroupForecast], random.Random], set[GroupId]]
"""Gives the groups of which a rank is chosen, of those with room."""


def any_group(
    rooms: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """Return all groups with room, so that the rank alone decides."""
    return set(rooms)


def shortest_pass(
    rooms: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """
    Return the group whose pass is predicted to be the shortest.

    >>> quick, long = GroupId("m", "a"), GroupId("m", "b")
    >>> rooms = {
    ...     quick: GroupForecast(4, 9, 0.05),
    ...     long: GroupForecast(7, 9, 0.08),
    ... }
    >>> shortest_pass(rooms, random.Random(1)) == {quick}
    True
    """
    least = min(room.next_pass_seconds for room in rooms.values())
    shortest = [
        group for group, room in rooms.items() if room.next_pass_seconds <= least
    ]
    return {rng.choice(sorted(shortest))}


def better_of_two(
    rooms: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """Return the one with the shorter predicted pass of two drawn groups."""
    groups = sorted(rooms)
    drawn = rng.sample(groups, min(2, len(groups)))
    return shortest_pass({group: rooms[group] for group in drawn}, rng)


def weighted_by_free_capacity(
    rooms: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """Return a drawn group, the likelier the more room it has free."""
    groups = sorted(rooms)
    return {rng.choices(groups, [rooms[group].free for group in groups])[0]}


def largest_free_share(
    rooms: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """Return the group with the largest part of its room free."""
    shares = {group: room.free / max(room.limit, 1) for group, room in rooms.items()}
    largest = max(shares.values())
    return {rng.choice(sorted(g for g, share in shares.items() if share >= largest))}
