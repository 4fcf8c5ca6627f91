"""Queries to the other agents of a group."""

from typing import TypeVar

from briarthread_common.http.call_many import call_many
from briarthread_common.http.channel import Channel
from briarthread_common.messages.map_messages import (
    STANDING_PATH,
    VERDICT_PATH,
    Standing,
    Verdict,
    VerdictAnswer,
    VerdictRequest,
)
from briarthread_common.spread.directory import Directory
from briarthread_common.text.group import Group

T = TypeVar("T")
CALL_TIMEOUT_SECONDS = 1.0


class GroupPeers:
    """Send the same query to all other agents of a group."""

    def __init__(self, name: str, directory: Directory, channel: Channel) -> None:
        self.name = name
        self.directory = directory
        self.channel = channel

    async def fetch_verdicts(self, group: Group, version: int) -> list[Verdict]:
        """Return the verdict of each other agent on a version."""
        message = VerdictRequest(group.name, version)
        answers = await self._query(group, VERDICT_PATH, message, VerdictAnswer)
        return [answer.verdict if answer else Verdict.UNKNOWN for answer in answers]

    async def fetch_standings(self, group: Group) -> list[Standing] | None:
        """Return the standings of all other agents, or ``None`` if one is missing."""
        answers = await self._query(group, STANDING_PATH, None, Standing)
        return None if None in answers else answers

    async def _query(
        self, group: Group, path: str, message: object, answer_type: type[T]
    ) -> list[T | None]:
        """Return the answer of each other agent, ``None`` for one without an answer."""
        rows = self.directory.all()
        peers = [name for name in group.targets if name != self.name]
        addresses = [rows[name].address if name in rows else "" for name in peers]
        answers = await call_many(
            self.channel,
            path,
            {address: message for address in addresses if address},
            answer_type,
            CALL_TIMEOUT_SECONDS,
        )
        return [answers.get(address) for address in addresses]
