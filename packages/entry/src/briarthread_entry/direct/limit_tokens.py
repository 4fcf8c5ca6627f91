"""The asking for attempts at targets that name a limit."""

from collections.abc import Callable, Container

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
from briarthread_common.messages.limit_word import LimitWord
from briarthread_common.messages.token_messages import (
    TOKENS_PATH,
    TokenAnswer,
    TokenAsk,
)
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.passed_over import PassedOver
from briarthread_entry.direct.issuer_order import issued_share, issuers_of
from briarthread_entry.direct.target_limits import TargetLimits
from briarthread_entry.direct.token_issuer import TokenIssuer

TOKEN_TIMEOUT_SECONDS = 0.15
"""Longest wait for a dealer: many times what a call between entries takes, and short
enough that the request can still be in time elsewhere."""
SKIP_SECONDS = 4.0
"""How long a dealer that did not answer is passed over."""
UNKNOWN_TARGET_SECONDS = 0.5
"""Pause before a dealer is asked again that does not know the target yet."""
MAX_ISSUERS_ASKED = 2
"""Dealers that are asked before an entry deals for itself."""

FindTarget = Callable[[str], DirectTarget | None]


class LimitTokens:
    """
    Take tokens for attempts at targets with a limit, and deal them to others.

    ``find`` gives a listed target by its name.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        limits: TargetLimits,
        find: FindTarget,
        channel: Channel,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.directory = directory
        self.limits = limits
        self.find = find
        self.channel = channel
        self.metrics = metrics
        self.issuer = TokenIssuer()
        self.lost = PassedOver(SKIP_SECONDS)
        self.closed: dict[str, float] = {}

    def routes(self) -> list[Route]:
        """Return the route of those who ask."""
        return [json_route(TOKENS_PATH, TokenAsk, self._answer)]

    def is_limited(self, target: str) -> bool:
        """Tell whether attempts at a target need a token."""
        return self.limits.limit_of(target) is not None

    def opens_at(self, target: str, now: float) -> float:
        """Return from when on a token for a target may be asked for."""
        if not self.is_limited(target):
            self.closed.pop(target, None)
        return self.closed.get(target, now)

    def retain(self, targets: Container[str]) -> None:
        """Forget all targets but some."""
        self.issuer.retain(targets)
        for name in [name for name in self.closed if name not in targets]:
            del self.closed[name]

    async def acquire(self, target: DirectTarget, wait: float) -> bool:
        """
        Take a token, waiting up to ``wait`` seconds for it.

        Where it is denied ``opens_at`` says when to ask again.
        """
        word = self.limits.latest(target.name, anyio.current_time())
        if word is None or word.per_second is None:
            return True
        ask = TokenAsk(self.name, target.name, word, wait)
        answer = await self._ask(target, ask)
        self.metrics.limited_attempts.labels(_decision(answer)).inc()
        if answer.granted:
            await anyio.sleep(answer.pause)
            return True
        self.closed[target.name] = anyio.current_time() + answer.pause
        return False

    async def _ask(self, target: DirectTarget, ask: TokenAsk) -> TokenAnswer:
        """Return the answer of the first dealer that gives one."""
        entries = self._entries()
        order = issuers_of(target, entries)
        for name in self.lost.others(order)[:MAX_ISSUERS_ASKED]:
            if name == self.name:
                break
            answer = await self._call(entries[name], ask)
            if answer is not None:
                return answer
        return self._deal(ask, order)

    async def _call(self, dealer: Instance, ask: TokenAsk) -> TokenAnswer | None:
        try:
            answer = await call_json(
                self.channel,
                dealer.address,
                "POST",
                TOKENS_PATH,
                ask,
                TokenAnswer,
                TOKEN_TIMEOUT_SECONDS,
            )
        except ChannelError as error:
            logger.info(
                "limits: {} deals {} no more: {}", dealer.name, ask.target, error
            )
            self.lost.note(dealer.name)
            return None
        self._learn(dealer.name, ask.target, answer.word)
        return answer

    async def _answer(self, ask: TokenAsk) -> TokenAnswer:
        self._learn(ask.asker, ask.target, ask.word)
        target = self.find(ask.target)
        if target is None:
            return TokenAnswer(False, UNKNOWN_TARGET_SECONDS)
        return self._deal(ask, issuers_of(target, self._entries()))

    def _deal(self, ask: TokenAsk, order: list[str]) -> TokenAnswer:
        """Deal as the entry that stands where this one does in an order of dealers."""
        now = anyio.current_time()
        word = self.limits.latest(ask.target, now)
        if word is None or word.per_second is None:
            return TokenAnswer(True, 0.0, word)
        rate = word.per_second * issued_share(self.name, order)
        answer = self.issuer.issue(ask.asker, ask.target, rate, ask.wait, now)
        return TokenAnswer(answer.granted, answer.pause, word)

    def _entries(self) -> dict[str, Instance]:
        return self.directory.of_role(InstanceRole.ENTRY)

    def _learn(self, source: str, target: str, word: LimitWord | None) -> None:
        if word is not None:
            self.limits.merge(source, {target: word}, anyio.current_time())


def _decision(answer: TokenAnswer) -> str:
    return "granted" if answer.granted else "denied"
