"""
Which entry deals a target's limit, and what others deal in its place.

It lies in the target's own data centre: where that is cut off, those outside reach
neither the target nor the dealer, and those inside go on with both. Two may deal at
the same time while entries disagree on who is there, so each place deals less than the
one before: a target then gets 1.5 times its limit, and twice at most.
"""

from collections.abc import Mapping

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.messages.instance import Instance
from briarthread_common.utils.hashing import rendezvous_order

SECOND_ISSUER_SHARE = 0.5
"""Part of a limit that is dealt in the place of the first."""


def issuers_of(target: DirectTarget, entries: Mapping[str, Instance]) -> list[str]:
    """
    Return the entries that deal a target's limit, in the order of asking.

    >>> from briarthread_common.messages.instance import InstanceRole
    >>> rows = [("a", "x"), ("b", "y"), ("c", "y")]
    >>> known = {n: Instance(n, dc, "", InstanceRole.ENTRY) for n, dc in rows}
    >>> target = DirectTarget("t", "s", "", "y", 6, False)
    >>> sorted(issuers_of(target, known))
    ['b', 'c']
    """
    near = [n for n, row in entries.items() if row.data_centre == target.data_centre]
    return rendezvous_order(target.name, near or entries)


def issued_share(dealer: str, order: list[str]) -> float:
    """
    Return the part of a limit that an entry deals.

    All after the second share what is left of twice the limit.

    >>> [issued_share(name, ["a", "b", "c", "d"]) for name in "abcd"]
    [1.0, 0.5, 0.125, 0.125]
    """
    if order and dealer == order[0]:
        return 1.0
    if len(order) > 1 and dealer == order[1]:
        return SECOND_ISSUER_SHARE
    return SECOND_ISSUER_SHARE / max(len(order), 1)
