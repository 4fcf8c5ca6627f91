"""How far an entry believes that a listed target answers at its address."""

from enum import StrEnum


class Standing(StrEnum):
    """
    Tell whether requests may be sent to a listed target.

    A ``TRUSTED`` target gets requests. A ``DOUBTED`` one gets them only if no other
    target is left. An ``EXCLUDED`` one gets none, since another target answers at its
    address or because it has yet to show that it does.
    """

    TRUSTED = "trusted"
    DOUBTED = "doubted"
    EXCLUDED = "excluded"
