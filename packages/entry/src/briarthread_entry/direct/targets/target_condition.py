"""Condition of a target of a plain service, as an entry sees it."""

from enum import StrEnum


class TargetCondition(StrEnum):
    """
    Tell how far an entry relies on a target.

    A ``NEW`` target has not answered yet while others of its service have. A ``SILENT``
    one answers nothing that it was sent. A ``SLOW`` one takes clearly longer than its
    service's mean.
    """

    NORMAL = "normal"
    NEW = "new"
    SILENT = "silent"
    SLOW = "slow"
