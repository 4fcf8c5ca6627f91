"""Target that is called directly."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectTarget:
    """
    One run of a target, as listed by the platform.

    ``name`` changes with each start of the target, so it identifies the run and not
    the address. ``leaving`` means that no new requests may be sent. ``warmup_seconds``
    is how much longer the target was cold when it was listed. ``started_ms`` is the
    Unix time of its start in milliseconds, ``None`` if the platform does not state it;
    another value under the same name means that the target was restarted.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    warmup_seconds: float = 0.0
    started_ms: int | None = None
