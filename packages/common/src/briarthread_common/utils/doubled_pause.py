"""Pauses that double with each repetition."""

MAX_DOUBLINGS = 64
"""Doublings after which any pause has reached its bound. A larger power of two would
have no value as a float."""


def doubled_pause(first: float, doublings: int, longest: float) -> float:
    """
    Return a pause that has doubled some times, at most the longest one.

    >>> [doubled_pause(0.1, doublings, longest=4.0) for doublings in (0, 3, 10**6)]
    [0.1, 0.8, 4.0]
    """
    return min(first * 2 ** min(doublings, MAX_DOUBLINGS), longest)
