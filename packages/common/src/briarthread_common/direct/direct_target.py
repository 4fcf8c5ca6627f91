"""One target that is called directly."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectTarget:
    """
    Describe one run of a target, as the platform lists it.

    ``name`` is new at each start of the target, so that it names the run and
    not the address. ``leaving`` says that no new work may be sent.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    warmup_seconds: float = 0.0
