"""Check whether an attempt may start on this agent."""

from briarthread_agent.shares.freeze_detector import FreezeDetector
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.messages.attempt import Attempt
from briarthread_common.messages.instance import Instance
from briarthread_common.shares.share_row import ShareRow
from briarthread_common.shares.share_view import ShareView
from briarthread_common.text.text_view import TextView
from briarthread_common.utils.clock import Clock


class ShareGuard:
    """
    Allow an attempt to start only if its key cannot have run elsewhere.

    ``handing_over`` contains the shares that are being handed over.
    ``inherited_quarantines`` maps a share held by the dead process that this one
    replaced to the Unix time at which its quarantine ends.
    """

    def __init__(
        self,
        clock: Clock,
        instance: Instance,
        incarnation: str,
        shares: ShareView,
        text: TextView,
        freeze_detector: FreezeDetector,
    ) -> None:
        self.clock = clock
        self.instance = instance
        self.incarnation = incarnation
        self.shares = shares
        self.text = text
        self.freeze_detector = freeze_detector
        self.draining = False
        self.handing_over: set[int] = set()
        self.inherited_quarantines: dict[int, float] = {}

    def check_start(self, attempt: Attempt) -> None:
        """Raise RequestError if the attempt must not start here now."""
        if self.draining:
            raise RequestError(ErrorKind.DRAINING, "agent is stopping")
        if self.clock.now() >= attempt.deadline:
            raise RequestError(ErrorKind.DEADLINE_PASSED, "deadline has passed")
        if attempt.idempotent:
            return
        if self.freeze_detector.check():
            raise RequestError(
                ErrorKind.NOT_READY, "agent was frozen and has not confirmed its shares"
            )
        if attempt.keyed:
            self._check_share(attempt)

    def row(self, share: int) -> ShareRow | None:
        """Return the latest known row of a share of this agent's service."""
        return self.shares.get(self.instance.service, self.instance.data_centre, share)

    def holds(self, row: ShareRow | None) -> bool:
        """Return whether a row names this process or one that it replaced."""
        return row is not None and row.address == self.instance.address

    def held_rows(self) -> list[ShareRow]:
        """Return the rows of the shares that this process holds."""
        service = self.text.current().services.get(self.instance.service)
        if service is None:
            return []
        rows = [self.row(share) for share in range(service.shares)]
        return [row for row in rows if row is not None and self.holds(row)]

    def new_quarantine_end(self) -> float:
        """Return when a share taken over now without its records may be served."""
        service = self.text.current().services[self.instance.service]
        return self.clock.now() + service.retry_horizon + service.max_deadline

    def quarantine_of(self, row: ShareRow) -> float:
        """
        Return the Unix time at which the quarantine of a held share ends.

        A row that names another incarnation belongs to the process that this one
        replaced. Its records are lost, whatever quarantine the row states.
        """
        if row.incarnation == self.incarnation:
            return row.quarantine
        return self.inherited_quarantines.setdefault(
            row.share, self.new_quarantine_end()
        )

    def _check_share(self, attempt: Attempt) -> None:
        row = self.row(attempt.share)
        if row is None or not self.holds(row) or attempt.share in self.handing_over:
            raise RequestError(ErrorKind.NOT_HOLDER, "share is held elsewhere")
        if attempt.share_version > row.version:
            raise RequestError(ErrorKind.NOT_HOLDER, "share was moved in the meantime")
        self._check_quarantine(row)

    def _check_quarantine(self, row: ShareRow) -> None:
        left = self.quarantine_of(row) - self.clock.now()
        if left > 0:
            raise RequestError(
                ErrorKind.QUARANTINED,
                "the record of this key was lost; an earlier attempt may have run",
                retry_after=left,
            )
