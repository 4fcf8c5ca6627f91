"""One fault found by a check."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CheckMessage:
    """
    Describe a fault with its location, a stable id and a hint.

    >>> print(CheckMessage("conf.E002", "[instance] name", "is missing", "Add it."))
    [instance] name: is missing (conf.E002). Add it.
    """

    id: str
    place: str
    text: str
    hint: str = ""

    def __str__(self) -> str:
        hint = f" {self.hint}" if self.hint else ""
        return f"{self.place}: {self.text} ({self.id}).{hint}"
