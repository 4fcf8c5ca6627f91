"""Record of the prompt segments that targets have answered."""

from collections import OrderedDict

MAX_PER_ACCOUNT = 256
"""Maximum number of segments kept of one account; the oldest is evicted first."""
MAX_SEGMENTS = 32_768
"""Maximum number of segments kept of all accounts, which takes about 8 MB. The account
that was served least recently is evicted first."""
NEVER = float("-inf")


class ProvenSegments:
    """
    Keep when a target last answered a prompt with a segment without crashing.

    Times are in seconds on the event loop's clock. A caller can evict segments of its
    own account only, until there are very many accounts.

    >>> proven = ProvenSegments()
    >>> proven.note("salon/5c1e", 10.0)
    >>> proven.last("salon/5c1e"), proven.last("barber/5c1e")
    (10.0, -inf)
    """

    def __init__(self) -> None:
        self.by_account: OrderedDict[str, OrderedDict[str, float]] = OrderedDict()
        self.count = 0

    def note(self, segment: str, at: float) -> None:
        """Record an answer to a prompt with a segment, unless a later one is known."""
        account = segment.rpartition("/")[0]
        known = self.by_account.setdefault(account, OrderedDict())
        self.by_account.move_to_end(account)
        self.count += segment not in known
        known[segment] = max(at, known.get(segment, NEVER))
        known.move_to_end(segment)
        if len(known) > MAX_PER_ACCOUNT:
            known.popitem(last=False)
            self.count -= 1
        while self.count > MAX_SEGMENTS:
            _, evicted = self.by_account.popitem(last=False)
            self.count -= len(evicted)

    def last(self, segment: str) -> float:
        """Return when a prompt with a segment was last answered, -inf if never."""
        known = self.by_account.get(segment.rpartition("/")[0])
        return NEVER if known is None else known.get(segment, NEVER)
