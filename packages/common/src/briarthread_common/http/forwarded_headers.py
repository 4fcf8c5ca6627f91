"""The headers that travel with a request and with its answer."""

FORWARDED_REQUEST_HEADERS = frozenset({"content-type", "accept", "accept-language"})
"""Headers of a caller that reach the target."""

FORWARDED_RESPONSE_HEADERS = frozenset(
    {"content-type", "cache-control", "content-language"}
)
"""Headers of a target that reach the caller."""

STREAM_CONTENT_TYPE = "text/event-stream"
"""Answers of this type are passed on as they come."""
