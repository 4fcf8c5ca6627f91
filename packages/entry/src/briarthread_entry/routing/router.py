"""Routing of attempts to targets."""

import random
from dataclasses import dataclass

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import ChannelError, RequestError
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json
from briarthread_common.messages.hello import HELLO_PATH, HELLO_TIMEOUT_SECONDS, Hello
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.shares.share_row import ShareRow, share_of
from briarthread_common.shares.share_view import ShareView
from briarthread_common.text.service import Service
from briarthread_common.text.services_text import ServicesText
from briarthread_common.utils.clock import Clock
from briarthread_entry.routing.choose_target import Choose, choose_target
from briarthread_entry.routing.target_state import TargetState
from briarthread_entry.routing.target_table import TargetTable
from briarthread_entry.serving.caller_request import CallerRequest


@dataclass(frozen=True, slots=True)
class Pick:
    """Hold the chosen target, and the row of the share if its holder was needed."""

    target: TargetState
    row: ShareRow | None = None


class Router:
    """
    Choose the target of each attempt.

    A request with a caller's key that may run only once is routed to the holder of
    its share. Any other request is routed to the cheaper of two local targets or, if
    no local target is usable, to a target in another data centre. ``choose`` selects
    among the local targets; measurements replace it.
    """

    def __init__(
        self,
        table: TargetTable,
        shares: ShareView,
        channel: Channel,
        clock: Clock,
        rng: random.Random,
        choose: Choose = choose_target,
    ) -> None:
        self.table = table
        self.shares = shares
        self.channel = channel
        self.clock = clock
        self.rng = rng
        self.choose = choose

    async def pick(
        self, request: CallerRequest, text: ServicesText, tried: set[str]
    ) -> Pick:
        """Return a target not yet tried or raise RequestError."""
        if request.needs_holder:
            return await self._pick_holder(request, text)
        local = [
            state
            for state in self.table.by_service(request.service.name)
            if state.instance.name not in tried
        ]
        chosen = self.choose(local, self.clock.now(), self.rng)
        if chosen is None:
            chosen = await self._pick_remote(request.service, tried)
        if chosen is None:
            raise self._no_target_error(request.service)
        return Pick(chosen)

    def has_target(self, service: Service) -> bool:
        """Return whether any target of a service can accept a request."""
        now = self.clock.now()
        if any(state.usable(now) for state in self.table.by_service(service.name)):
            return True
        return bool(self._remote_targets(service, set()))

    async def _pick_holder(self, request: CallerRequest, text: ServicesText) -> Pick:
        service = request.service
        home = text.key_home(request.account, service)
        share = share_of(request.key, service.shares)
        row = self.shares.get(service.name, home, share)
        if row is None:
            raise RequestError(
                ErrorKind.HOLDER_UNREACHABLE, f"share {share} in {home} has no holder"
            )
        known = self.table.by_address(row.address)
        if known is not None and known.incarnation:
            return Pick(known, row)
        instance = Instance(
            row.holder, home, row.address, InstanceRole.TARGET, service.name
        )
        return Pick(TargetState(instance, incarnation=row.incarnation), row)

    def _no_target_error(self, service: Service) -> RequestError:
        """Return the error for no usable target, with the time until a backoff ends."""
        now = self.clock.now()
        backoffs = [
            state.backoff_until - now
            for state in self.table.by_service(service.name)
            if state.backoff_until > now
        ]
        if backoffs:
            return RequestError(
                ErrorKind.TARGETS_BACKING_OFF,
                f"the targets of {service.name} are backing off",
                retry_after=min(backoffs),
            )
        return RequestError(
            ErrorKind.NO_TARGET, f"no target of {service.name} is usable"
        )

    async def _pick_remote(
        self, service: Service, tried: set[str]
    ) -> TargetState | None:
        remote = self._remote_targets(service, tried)
        self.rng.shuffle(remote)
        for instance in remote[:2]:
            try:
                hello = await call_json(
                    self.channel,
                    instance.address,
                    "GET",
                    HELLO_PATH,
                    None,
                    Hello,
                    HELLO_TIMEOUT_SECONDS,
                )
            except ChannelError:
                continue
            return TargetState(instance, incarnation=hello.incarnation)
        return None

    def _remote_targets(self, service: Service, tried: set[str]) -> list[Instance]:
        return [
            instance
            for data_centre in service.data_centres
            if data_centre != self.table.data_centre
            for instance in self.table.directory.targets(service.name, data_centre)
            if instance.name not in tried
        ]
