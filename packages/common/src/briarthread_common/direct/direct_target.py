"""Target that is called directly."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectTarget:
    """
    One run of a target, as listed by the platform.

    ``name`` changes with each start of the target, so it identifies the run and not
    the address. ``leaving`` means that no new requests may be sent.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    warmup_seconds: float = 0.0
