"""Queue of attempts to a target, fair between client accounts."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from briarthread_agent.limits.target_backoff import TargetBackoff
from briarthread_agent.limits.waiter import Waiter
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.utils.clock import Clock
from briarthread_common.utils.decaying_mean import DecayingMean

INITIAL_SERVICE_TIME = 0.02
"""Service time in seconds that is assumed before the first response."""
MAX_BACKOFF_WAIT = 0.2
"""Longest remaining backoff in seconds that an attempt waits for. With a longer one it
is refused, so that its entry can try another target within the route's objective."""


class FairQueue:
    """
    Assign the target's slots to queued attempts by weighted fair queueing.

    The attempts of an account get start tags that advance by one over its weight; the
    attempt with the lowest tag starts first. A single active account may use all
    slots; several share them by weight. When the queue is full, an attempt of the
    account with the most queued attempts relative to its weight is evicted.

    During a backoff of the target, new and waiting attempts are refused at once, unless
    the backoff ends within ``MAX_BACKOFF_WAIT``.
    """

    def __init__(
        self, clock: Clock, backoff: TargetBackoff, slots: int, limit: int
    ) -> None:
        self.clock = clock
        self.backoff = backoff
        self.slots = slots
        self.limit = limit
        self.running = 0
        self.waiting: list[Waiter] = []
        self.virtual_time = 0.0
        self.start_tags: dict[str, float] = {}
        self.service_time = DecayingMean(weight=0.1)

    @asynccontextmanager
    async def slot(
        self, account: str, weight: float, priority: int, deadline: float
    ) -> AsyncIterator[None]:
        """
        Hold a slot while the context lasts.

        Raise RequestError at once, with a retry delay, if the queue is full, the
        target's backoff is in effect, or the attempt is predicted to miss its
        deadline.
        """
        await self._acquire(account, weight, priority, deadline)
        started = self.clock.now()
        try:
            yield
        finally:
            self.service_time.add(self.clock.now() - started)
            self._release()

    def mean_service_time(self) -> float:
        """Return the mean time in seconds that a slot is held."""
        return (
            self.service_time.value
            if self.service_time.samples
            else INITIAL_SERVICE_TIME
        )

    def predicted_wait(self, ahead: int) -> float:
        """Return the seconds until an attempt with ``ahead`` before it starts."""
        backoff = self.backoff.seconds_left()
        if self.running < self.slots:
            return backoff
        return backoff + (ahead + 1) * self.mean_service_time() / self.slots

    def backlog_seconds(self) -> float:
        """Return the predicted wait in seconds of an attempt behind the whole queue."""
        return self.predicted_wait(len(self.waiting))

    async def follow_backoff(self) -> None:
        """Refuse queued attempts when a backoff begins; start them when it ends."""
        while True:
            while self.backoff.seconds_left() > 0:
                self._refuse_waiting()
                await anyio.sleep(self.backoff.seconds_left())
            self._grant_next()
            await self.backoff.extended.wait()

    def _refuse_waiting(self) -> None:
        remaining = self.backoff.seconds_left()
        if remaining <= MAX_BACKOFF_WAIT:
            return
        while self.waiting:
            waiter = self.waiting.pop(0)
            waiter.refusal = _backoff_error(remaining)
            waiter.event.set()

    async def _acquire(
        self, account: str, weight: float, priority: int, deadline: float
    ) -> None:
        waiter = Waiter(account, weight, priority, self._start_tag(account, weight))
        remaining = self.backoff.seconds_left()
        if remaining > MAX_BACKOFF_WAIT:
            raise _backoff_error(remaining)
        if self.running < self._usable_slots() and not self.waiting:
            self._grant(waiter)
            return
        ahead = sum(1 for other in self.waiting if other.sort_key < waiter.sort_key)
        self._check_deadline(ahead, deadline)
        self._evict_if_full(waiter)
        self.waiting.append(waiter)
        self.start_tags[account] = waiter.tag + 1 / weight
        try:
            await waiter.event.wait()
        except BaseException:
            self._withdraw(waiter)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal

    def _start_tag(self, account: str, weight: float) -> float:
        return max(self.virtual_time, self.start_tags.get(account, 0.0))

    def _check_deadline(self, ahead: int, deadline: float) -> None:
        wait = self.predicted_wait(ahead)
        if self.clock.now() + wait + self.mean_service_time() > deadline:
            raise RequestError(
                ErrorKind.DEADLINE_UNMEETABLE,
                f"predicted wait is {wait:.2f} s",
                retry_after=self.backlog_seconds(),
            )

    def _evict_if_full(self, waiter: Waiter) -> None:
        if len(self.waiting) < self.limit:
            return
        evicted = self._select_evicted(waiter)
        error = RequestError(
            ErrorKind.OVERLOADED, "queue is full", retry_after=self.backlog_seconds()
        )
        if evicted is None:
            raise error
        self.waiting.remove(evicted)
        evicted.refusal = error
        evicted.event.set()

    def _select_evicted(self, arriving: Waiter) -> Waiter | None:
        counts = Counter(other.account for other in self.waiting)
        counts[arriving.account] += 1
        weights = {other.account: other.weight for other in self.waiting}
        weights[arriving.account] = arriving.weight
        largest = max(counts, key=lambda name: (counts[name] / weights[name], name))
        if largest == arriving.account:
            return None
        return max(
            (other for other in self.waiting if other.account == largest),
            key=lambda other: other.sort_key,
        )

    def _grant(self, waiter: Waiter) -> None:
        self.running += 1
        self.virtual_time = max(self.virtual_time, waiter.tag)
        self.start_tags[waiter.account] = max(
            self.start_tags.get(waiter.account, 0.0), waiter.tag + 1 / waiter.weight
        )
        waiter.granted = True
        waiter.event.set()

    def _release(self) -> None:
        self.running -= 1
        self._grant_next()
        if not self.waiting and not self.running:
            self.start_tags.clear()
            self.virtual_time = 0.0

    def _grant_next(self) -> None:
        while self.waiting and self.running < self._usable_slots():
            waiter = min(self.waiting, key=lambda other: other.sort_key)
            self.waiting.remove(waiter)
            self._grant(waiter)

    def _usable_slots(self) -> int:
        return self.backoff.usable_slots(self.slots)

    def _withdraw(self, waiter: Waiter) -> None:
        if waiter.granted:
            self._release()
        elif waiter in self.waiting:
            self.waiting.remove(waiter)


def _backoff_error(remaining: float) -> RequestError:
    return RequestError(
        ErrorKind.TARGETS_BACKING_OFF,
        f"the target is backing off for another {remaining:.2f} s",
        retry_after=remaining,
    )
