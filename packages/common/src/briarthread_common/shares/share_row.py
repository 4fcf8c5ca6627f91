"""Assignment of one share of a service's idempotency keys."""

from dataclasses import dataclass

from briarthread_common.utils.hashing import stable_hash


@dataclass(frozen=True, slots=True)
class ShareRow:
    """
    Name the agent that holds one share; the row never expires.

    Until ``quarantine``, a Unix time in seconds, keys given by callers are not
    served, because the records of the previous holder were lost.
    """

    service: str
    data_centre: str
    share: int
    holder: str
    address: str
    incarnation: str
    version: int
    quarantine: float = 0.0


def share_name(service: str, data_centre: str, share: int) -> str:
    """Return the name of a share's item in the shares feed."""
    return f"{service}/{data_centre}/{share}"


def share_of(key: str, shares: int) -> int:
    """
    Return the number of the share that a key belongs to.

    >>> 0 <= share_of("caruso/booking-1", 12) < 12
    True
    """
    return stable_hash("share", key) % shares
