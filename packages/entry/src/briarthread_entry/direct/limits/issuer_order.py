"""
Order of the entries that issue the tokens of a target's rate limit.

The issuer is an entry in the target's own data centre. If that data centre is cut off,
entries outside reach neither the target nor the issuer, and entries inside reach both.
While entries disagree on which entries exist, several may issue tokens at the same
time. The share therefore decreases along the order: with two issuers a target gets 1.5
times its limit, with any number of them twice the limit at most.
"""

from collections.abc import Mapping

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.messages.instance import Instance
from briarthread_common.utils.hashing import rendezvous_order

SECOND_ISSUER_SHARE = 0.5
"""Fraction of a limit that the second entry issues in place of the first."""

COLD_ISSUERS = 2
"""Number of entries that issue tokens for a cold target."""


def issuers_of(target: DirectTarget, entries: Mapping[str, Instance]) -> list[str]:
    """
    Return the entries that may issue a target's tokens, in order of preference.

    >>> from briarthread_common.messages.instance import InstanceRole
    >>> rows = [("a", "x"), ("b", "y"), ("c", "y")]
    >>> known = {n: Instance(n, dc, "", InstanceRole.ENTRY) for n, dc in rows}
    >>> target = DirectTarget("t", "s", "", "y", 6, False)
    >>> sorted(issuers_of(target, known))
    ['b', 'c']
    """
    local = [n for n, row in entries.items() if row.data_centre == target.data_centre]
    return rendezvous_order(target.name, local or entries)


def cold_share(issuer: str, order: list[str]) -> float:
    """
    Return the fraction of a cold target's rate that an entry issues.

    Entries after the second one issue nothing: a cold target crashes above its rate.

    >>> [cold_share(name, ["a", "b", "c"]) for name in "abc"]
    [1.0, 0.5, 0.0]
    """
    return issued_share(issuer, order) if issuer in order[:COLD_ISSUERS] else 0.0


def issued_share(issuer: str, order: list[str]) -> float:
    """
    Return the fraction of a limit that an entry issues.

    The entries after the second one share the rest of twice the limit.

    >>> [issued_share(name, ["a", "b", "c", "d"]) for name in "abcd"]
    [1.0, 0.5, 0.125, 0.125]
    """
    if order and issuer == order[0]:
        return 1.0
    if len(order) > 1 and issuer == order[1]:
        return SECOND_ISSUER_SHARE
    return SECOND_ISSUER_SHARE / max(len(order), 1)
