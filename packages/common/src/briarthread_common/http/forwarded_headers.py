"""Headers that are forwarded with a request and with its response."""

FORWARDED_REQUEST_HEADERS = frozenset({"content-type", "accept", "accept-language"})
"""Request headers that are forwarded to the target."""

FORWARDED_RESPONSE_HEADERS = frozenset(
    {"content-type", "cache-control", "content-language"}
)
"""Response headers that are forwarded to the caller."""

STREAM_CONTENT_TYPE = "text/event-stream"
"""Content type of responses that are streamed to the caller without buffering."""
