"""The step at which a group was when one of its ranks reported."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReportedStep:
    """
    Identify a step of a group; ``epoch`` counts the formations of the group.

    >>> ReportedStep(812, epoch=1).precedes(ReportedStep(3, epoch=2))
    True
    >>> ReportedStep(812, group="a").precedes(ReportedStep(900, group="b"))
    False
    """

    step: int
    epoch: int = 0
    group: str = ""

    def precedes(self, other: "ReportedStep") -> bool:
        """Return whether the group made this step before another one."""
        is_earlier = (self.epoch, self.step) < (other.epoch, other.step)
        return self.group == other.group and is_earlier
