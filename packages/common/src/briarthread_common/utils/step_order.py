"""Order of the answers of one rank by the steps that they report."""

from briarthread_common.core.exceptions import ForeignResponseError
from briarthread_common.utils.reported_step import ReportedStep


class StepOrder:
    """
    Recognise an answer that is older than one received before its call was sent.

    Answers to concurrent calls may arrive in any order. After an older answer any step
    is accepted, so that a rank that has really gone back is believed.

    >>> order = StepOrder()
    >>> order.check(order.newest, ReportedStep(8))
    >>> order.check(order.newest, ReportedStep(7))
    Traceback (most recent call last):
        ...
    briarthread_common.core.exceptions.ForeignResponseError: step 7 reported after 8
    >>> order.check(order.newest, ReportedStep(7))
    """

    def __init__(self) -> None:
        self.newest: ReportedStep | None = None

    def check(self, before: ReportedStep | None, reported: ReportedStep) -> None:
        """
        Raise ForeignResponseError if a step precedes ``before``.

        ``before`` is the newest step at the time at which the call was sent.
        """
        if before is not None and reported.precedes(before):
            self.newest = None
            raise ForeignResponseError(
                f"step {reported.step} reported after {before.step}"
            )
        if self.newest is None or not reported.precedes(self.newest):
            self.newest = reported
