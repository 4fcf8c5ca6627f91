"""
Policies that choose the group for a request, for comparison.

Each serves a service of several lock-step groups, of which one may be slower or
smaller than the others: every request of a group waits for its slowest rank.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from briarthread_common.direct.group_id import GroupId


@dataclass(frozen=True, slots=True)
class GroupForecast:
    """Free capacity of a group out of ``limit``, and its pass with one more request."""

    free: int
    limit: int
    next_pass_seconds: float


GroupPolicy = Callable[[Mapping[GroupId, GroupForecast], random.Random], set[GroupId]]
"""Selects the groups from which a rank is chosen, out of those with free capacity."""


def any_group(
    forecasts: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """Return all groups with free capacity, so that the choice of rank decides."""
    return set(forecasts)


def shortest_pass(
    forecasts: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """
    Return the group with the shortest predicted pass.

    >>> fast, slow = GroupId("m", "a"), GroupId("m", "b")
    >>> forecasts = {
    ...     fast: GroupForecast(4, 9, 0.05),
    ...     slow: GroupForecast(7, 9, 0.08),
    ... }
    >>> shortest_pass(forecasts, random.Random(1)) == {fast}
    True
    """
    shortest_seconds = min(
        forecast.next_pass_seconds for forecast in forecasts.values()
    )
    candidates = [
        group
        for group, forecast in forecasts.items()
        if forecast.next_pass_seconds <= shortest_seconds
    ]
    return {rng.choice(sorted(candidates))}


def better_of_two(
    forecasts: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """Draw two groups and return the one with the shorter predicted pass."""
    groups = sorted(forecasts)
    drawn_groups = rng.sample(groups, min(2, len(groups)))
    return shortest_pass({group: forecasts[group] for group in drawn_groups}, rng)


def weighted_by_free_capacity(
    forecasts: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """Return a random group, weighted by free capacity."""
    groups = sorted(forecasts)
    return {rng.choices(groups, [forecasts[group].free for group in groups])[0]}


def largest_free_share(
    forecasts: Mapping[GroupId, GroupForecast], rng: random.Random
) -> set[GroupId]:
    """Return the group with the largest free share of its capacity."""
    shares = {
        group: forecast.free / max(forecast.limit, 1)
        for group, forecast in forecasts.items()
    }
    largest = max(shares.values())
    return {rng.choice(sorted(g for g, share in shares.items() if share >= largest))}
