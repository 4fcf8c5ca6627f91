"""Rate-limit tokens for attempts at targets that state a limit or are cold."""

from collections.abc import Callable, Collection, Container

import anyio
from loguru import logger

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.http.app import Route
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json
from briarthread_common.http.json_route import json_route
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.messages.limit_report import LimitReport
from briarthread_common.messages.token_messages import (
    TOKENS_PATH,
    TokenAnswer,
    TokenRequest,
)
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.recent_failures import RecentFailures
from briarthread_entry.direct.limits.cold_targets import ColdTargets
from briarthread_entry.direct.limits.issuer_members import IssuerMembers
from briarthread_entry.direct.limits.issuer_order import (
    cold_share,
    issued_share,
    issuers_of,
)
from briarthread_entry.direct.limits.target_limits import TargetLimits
from briarthread_entry.direct.limits.token_issuer import TokenIssuer
from briarthread_entry.direct.targets.target_runs import TargetRuns

TOKEN_TIMEOUT_SECONDS = 0.15
"""Timeout in seconds of a call to an issuer. It is many times the duration of a call
between entries and leaves the request enough time for another target."""
SKIP_SECONDS = 4.0
"""Time in seconds for which an issuer that did not respond is skipped."""
UNKNOWN_TARGET_SECONDS = 0.5
"""Pause in seconds before an issuer that does not know the target is asked again."""
MAX_ISSUERS_ASKED = 2
"""Maximum number of issuers that are asked before an entry issues its own tokens."""
UNSTATED_LIMIT = LimitReport(None, age=86400.0)
"""What an entry sends about a cold target that states no limit. It is so old that it
ends no limit that the issuer knows."""

FindTarget = Callable[[str], DirectTarget | None]


class LimitTokens:
    """
    Acquire tokens for attempts at limited targets and issue them to other entries.

    A target is limited if it states a limit or is cold; the lower rate applies to a
    target that does both. While a target is cold, only the first two entries in the
    order of ``members`` issue tokens for it, and an entry that gets no answer from
    either sends nothing there. ``find`` returns a known target by its name.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        limits: TargetLimits,
        find: FindTarget,
        channel: Channel,
        metrics: Metrics,
        cold: ColdTargets,
        members: IssuerMembers,
        runs: TargetRuns,
    ) -> None:
        self.name = name
        self.directory = directory
        self.limits = limits
        self.find = find
        self.channel = channel
        self.metrics = metrics
        self.cold = cold
        self.members = members
        self.runs = runs
        self.issuer = TokenIssuer()
        self.unresponsive = RecentFailures(SKIP_SECONDS)
        self.denied_until: dict[str, float] = {}

    def routes(self) -> list[Route]:
        """Return the route on which other entries request tokens."""
        return [json_route(TOKENS_PATH, TokenRequest, self._handle_request)]

    def is_limited(self, target: str) -> bool:
        """Return whether attempts at a target need a token."""
        if self.limits.limit_of(target) is not None:
            return True
        return bool(self.cold.ends) and self.is_cold(target)

    def is_cold(self, target: str) -> bool:
        """Return whether attempts at a target need a token because it is cold."""
        return self.cold.is_limited(target, anyio.current_time())

    def opens_at(self, target: str, now: float) -> float:
        """Return when a token may be requested, ``now`` if it may be already."""
        if not self.is_limited(target):
            self.denied_until.pop(target, None)
        return self.denied_until.get(target, now)

    def retain(self, targets: Container[str]) -> None:
        """Forget all targets except the given ones."""
        self.issuer.retain(targets)
        for name in [name for name in self.denied_until if name not in targets]:
            del self.denied_until[name]

    def discard(self, targets: Collection[str]) -> None:
        """Forget the buckets and the denials of the given targets."""
        self.issuer.discard(targets)
        for name in targets:
            self.denied_until.pop(name, None)

    async def acquire(self, target: DirectTarget, wait: float) -> bool:
        """
        Acquire a token, waiting up to ``wait`` seconds for it.

        If it is denied, ``opens_at`` returns when to ask again.
        """
        now = anyio.current_time()
        limit = self.limits.latest(target.name, now)
        if self.is_cold(target.name):
            return await self._acquire_cold(target, limit or UNSTATED_LIMIT, wait)
        if limit is None or limit.per_second is None:
            return True
        ask = TokenRequest(
            self.name, target.name, limit, wait, started_ms=target.started_ms
        )
        answer = await self._request(target, ask)
        self.metrics.limited_attempts.labels(_decision(answer)).inc()
        return await self._apply(target, answer)

    async def _apply(self, target: DirectTarget, answer: TokenAnswer) -> bool:
        """Wait for a granted token; record when to ask again after a denial."""
        if answer.granted:
            await anyio.sleep(answer.pause)
            return True
        if self._is_current_run(target.name, target.started_ms):
            self.denied_until[target.name] = anyio.current_time() + answer.pause
        return False

    async def _acquire_cold(
        self, target: DirectTarget, limit: LimitReport, wait: float
    ) -> bool:
        """Acquire a token for a cold target from one of its two issuers."""
        answer = await self._request_cold(target, limit, wait)
        now = anyio.current_time()
        if answer is None:
            self.metrics.cold_attempts.labels("no-issuer").inc()
            pause = min(SKIP_SECONDS, self.cold.left(target.name, now))
            self.cold.note_no_issuer(target.name, pause, now)
            answer = TokenAnswer(False, pause)
        else:
            self.metrics.cold_attempts.labels(_decision(answer)).inc()
        return await self._apply(target, answer)

    async def _request_cold(
        self, target: DirectTarget, limit: LimitReport, wait: float
    ) -> TokenAnswer | None:
        """Return the answer of an issuer of a cold target, ``None`` without one."""
        now = anyio.current_time()
        left = self.cold.own_left(target.name, now)
        ask = TokenRequest(self.name, target.name, limit, wait, left, target.started_ms)
        order = self.members.order(target, now)
        entries = self.members.entries(now)
        for name in self.unresponsive.without_recent(order):
            if name == self.name:
                answer = self._issue_cold(ask, target)
            else:
                answer = await self._call(entries[name], ask)
            if answer is not None and answer.cold_left > 0:
                return answer
        return None

    async def _request(self, target: DirectTarget, ask: TokenRequest) -> TokenAnswer:
        """Return the answer of the first issuer that responds."""
        entries = self._entries()
        order = issuers_of(target, entries)
        for name in self.unresponsive.without_recent(order)[:MAX_ISSUERS_ASKED]:
            if name == self.name:
                break
            answer = await self._call(entries[name], ask)
            if answer is not None:
                return answer
        return self._issue(ask, order)

    async def _call(self, issuer: Instance, ask: TokenRequest) -> TokenAnswer | None:
        try:
            answer = await call_json(
                self.channel,
                issuer.address,
                "POST",
                TOKENS_PATH,
                ask,
                TokenAnswer,
                TOKEN_TIMEOUT_SECONDS,
            )
        except ChannelError as error:
            logger.info(
                "limits: {} issues no tokens for {}: {}", issuer.name, ask.target, error
            )
            self.unresponsive.add(issuer.name)
            return None
        self._merge(issuer.name, ask.target, answer.word, answer.cold_left)
        return answer

    async def _handle_request(self, ask: TokenRequest) -> TokenAnswer:
        self._merge(ask.asker, ask.target, ask.word, ask.cold_left, ask.started_ms)
        target = self.find(ask.target)
        if target is None or not self._is_current_run(ask.target, ask.started_ms):
            return TokenAnswer(False, UNKNOWN_TARGET_SECONDS)
        if ask.cold_left > 0 or self.is_cold(ask.target):
            return self._issue_cold(ask, target)
        return self._issue(ask, issuers_of(target, self._entries()))

    def _issue(self, ask: TokenRequest, order: list[str]) -> TokenAnswer:
        """Issue a token according to this entry's position in the order of issuers."""
        now = anyio.current_time()
        limit = self.limits.latest(ask.target, now)
        if limit is None or limit.per_second is None:
            return TokenAnswer(True, 0.0, limit)
        rate = limit.per_second * issued_share(self.name, order)
        answer = self.issuer.issue(ask.asker, ask.target, rate, ask.wait, now)
        return TokenAnswer(answer.granted, answer.pause, limit)

    def _issue_cold(self, ask: TokenRequest, target: DirectTarget) -> TokenAnswer:
        """
        Issue a token for a cold target, if this entry is one of its two issuers.

        ``cold_left`` of the answer is 0.0 if it is not.
        """
        now = anyio.current_time()
        limit = self.limits.latest(ask.target, now)
        rate = self.cold.rate(ask.target, now)
        share = cold_share(self.name, self.members.order(target, now))
        if rate is None or not share or not self.members.may_issue(now):
            return TokenAnswer(False, UNKNOWN_TARGET_SECONDS, limit)
        if limit is not None and limit.per_second is not None:
            rate = min(rate, limit.per_second)
        left = self.cold.left(ask.target, now)
        answer = self.issuer.issue(
            ask.asker, ask.target, rate * share, min(ask.wait, left), now
        )
        pause = answer.pause if answer.granted else min(answer.pause, left)
        return TokenAnswer(answer.granted, pause, limit, round(left, 3))

    def _entries(self) -> dict[str, Instance]:
        return self.directory.of_role(InstanceRole.ENTRY)

    def _is_current_run(self, target: str, started_ms: int | None) -> bool:
        return started_ms is None or self.runs.is_current(target, started_ms)

    def _merge(
        self,
        source: str,
        target: str,
        limit: LimitReport | None,
        cold_left: float,
        started_ms: int | None = None,
    ) -> None:
        now = anyio.current_time()
        if limit is not None and self.runs.is_current(
            target, started_ms, now - limit.age
        ):
            self.limits.merge(source, {target: limit}, now)
        self.cold.merge(target, cold_left, now)


def _decision(answer: TokenAnswer) -> str:
    return "granted" if answer.granted else "denied"
