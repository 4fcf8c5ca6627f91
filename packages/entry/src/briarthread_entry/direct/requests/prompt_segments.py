"""Parser of the segments that a prompt shares with other prompts."""

MAX_SEGMENTS = 32
"""Maximum number of shared segments of a request that are considered."""
MAX_ID_LENGTH = 64
"""Maximum length of a segment id in characters; longer ones are cut."""


def shared_segments(account: str, raw: str) -> tuple[str, ...]:
    """
    Return keys of the shared segments of a prompt, in order and without duplicates.

    ``raw`` is the header with all segments, of which the last belongs to the request
    alone. A key starts with the account, so that what is known of one account's
    prompts never concerns another account. An id may be any text that a caller sends.

    >>> shared_segments("salon", "5c1e:800,91bd:410,e440:250")
    ('salon/5c1e', 'salon/91bd')
    >>> shared_segments("salon", "e440:250"), shared_segments("salon", "")
    ((), ())
    """
    ids = [_read_id(part) for part in raw.split(",")]
    keys = (f"{account}/{segment_id}" for segment_id in ids[:-1] if segment_id)
    return tuple(dict.fromkeys(keys))[:MAX_SEGMENTS]


def _read_id(part: str) -> str:
    """
    Return the id of a segment, without the character that ends the account.

    >>> _read_id(" 5C1e:800"), _read_id("a/b")
    ('5c1e', 'a_b')
    """
    segment_id = part.partition(":")[0].strip().lower()
    return segment_id.replace("/", "_")[:MAX_ID_LENGTH]
