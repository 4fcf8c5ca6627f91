"""Activation of a planned map on all agents of a group."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio

from briarthread_common.core.event_log import EventLog
from briarthread_common.http.call_many import call_many
from briarthread_common.http.channel import Channel
from briarthread_common.messages.expert_map import NO_MAP_VERSION, ExpertMap
from briarthread_common.messages.map_messages import (
    ANNOUNCE_PATH,
    CONFIRM_PATH,
    STAGE_PATH,
    STANDING_PATH,
    AnnounceMap,
    ConfirmMap,
    MapAnswer,
    StageMap,
    Standing,
)
from briarthread_common.spread.directory import Directory
from briarthread_common.text.group import Group

T = TypeVar("T")
CALL_TIMEOUT_SECONDS = 2.0
STAGE_TIMEOUT_SECONDS = 120.0
ACTIVATION_LEAD_STEPS = 100
"""Steps from the highest step reported on staging to the one that activates the map."""
CONFIRM_ATTEMPTS = 5
CONFIRM_RETRY_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Activated:
    """Result: the map is active from ``step`` on."""

    step: int


@dataclass(frozen=True, slots=True)
class NotActivated:
    """Result: the group keeps its current map for the given reason."""

    reason: str


class Coordinator:
    """
    Stage a map on every rank, announce it, and confirm it once all acknowledged.

    The coordinator needs no durable state: if its process dies at any point, the
    agents decide among themselves whether the map becomes active.
    """

    def __init__(self, channel: Channel, directory: Directory, events: EventLog):
        self.channel = channel
        self.directory = directory
        self.events = events

    async def activate(
        self, group: Group, expert_map: ExpertMap, fence: int
    ) -> Activated | NotActivated:
        """Activate a map under a planner's fencing token."""
        result = await self._activate(group, expert_map, fence)
        subject = f"{group.name}/map/{expert_map.version}"
        match result:
            case Activated(step=step):
                self.events.add("map-moved", subject, f"from step {step}")
            case NotActivated(reason=reason):
                self.events.add("map-not-moved", subject, reason)
        return result

    async def fetch_standings(self, group: Group) -> dict[str, Standing]:
        """Return the state of each agent that responds, by target name."""
        return await self._call_all(group, STANDING_PATH, lambda name: None, Standing)

    async def _activate(
        self, group: Group, expert_map: ExpertMap, fence: int
    ) -> Activated | NotActivated:
        standings = await self.fetch_standings(group)
        if len(standings) < len(group.targets):
            return NotActivated("an agent did not respond")
        if any(
            standing.version == NO_MAP_VERSION or standing.pending
            for standing in standings.values()
        ):
            return NotActivated("a rank has no map yet or is held for another map")
        staged = await self._call_all(
            group,
            STAGE_PATH,
            lambda name: StageMap(group.name, fence, expert_map),
            MapAnswer,
            STAGE_TIMEOUT_SECONDS,
        )
        refusal = _find_refusal(group, staged)
        if refusal:
            return NotActivated(f"not staged: {refusal}")
        step = max(answer.step for answer in staged.values()) + ACTIVATION_LEAD_STEPS
        announced = await self._call_all(
            group,
            ANNOUNCE_PATH,
            lambda name: AnnounceMap(
                group.name,
                standings[name].incarnation,
                fence,
                expert_map.version,
                step,
            ),
            MapAnswer,
        )
        refusal = _find_refusal(group, announced)
        if refusal:
            return NotActivated(f"not announced: {refusal}")
        return await self._confirm(group, standings, expert_map.version, fence, step)

    async def _confirm(
        self,
        group: Group,
        standings: dict[str, Standing],
        version: int,
        fence: int,
        step: int,
    ) -> Activated | NotActivated:
        for _ in range(CONFIRM_ATTEMPTS):
            answers = await self._call_all(
                group,
                CONFIRM_PATH,
                lambda name: ConfirmMap(
                    group.name, standings[name].incarnation, fence, version
                ),
                MapAnswer,
            )
            if any(answer.accepted for answer in answers.values()):
                return Activated(step)
            await anyio.sleep(CONFIRM_RETRY_SECONDS)
        return NotActivated("no agent accepted the confirmation")

    async def _call_all(
        self,
        group: Group,
        path: str,
        build: Callable[[str], object],
        answer_type: type[T],
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> dict[str, T]:
        """Return the answers of the agents that respond, by target name."""
        instances = self.directory.all()
        names = {
            instances[name].address: name for name in group.targets if name in instances
        }
        messages = {address: build(name) for address, name in names.items()}
        answers = await call_many(self.channel, path, messages, answer_type, timeout)
        return {names[address]: answer for address, answer in answers.items()}


def _find_refusal(group: Group, answers: dict[str, MapAnswer]) -> str:
    for name in group.targets:
        answer = answers.get(name)
        if answer is None:
            return f"{name} did not respond"
        if not answer.accepted:
            return f"{name}: {answer.reason}"
    return ""
