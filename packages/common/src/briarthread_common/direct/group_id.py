"""Identifier of a lock-step group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class GroupId:
    """
    Identify one of the groups that the ranks of a service form.

    ``name`` is empty for ranks whose group is not known.

    >>> str(GroupId("model", "g-1")), str(GroupId("model"))
    ('model/g-1', 'model')
    """

    service: str
    name: str = ""

    def __str__(self) -> str:
        return f"{self.service}/{self.name}" if self.name else self.service
