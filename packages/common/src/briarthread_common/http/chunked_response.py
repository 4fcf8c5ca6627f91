"""The end of a response whose body comes in chunks."""

import httptools

INTERIM_STATUSES = range(100, 200)


class ChunkedResponse:
    r"""
    Follow the bytes of a response, to tell where its last chunk ends.

    >>> response = ChunkedResponse()
    >>> response.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
    >>> response.ends_exactly()
    True
    >>> response.feed(b"HTTP")
    >>> response.ends_exactly()
    False
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.has_ended = False
        self.is_followed = False

    def feed(self, data: bytes) -> None:
        """Parse more bytes; those that cannot be parsed follow the response."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.is_followed = True

    def ends_exactly(self) -> bool:
        """Return whether the response has ended and nothing follows it."""
        return self.has_ended and not self.is_followed

    def on_message_begin(self) -> None:
        """Record that bytes of another response have come (called by the parser)."""
        self.is_followed = self.is_followed or self.has_ended

    def on_message_complete(self) -> None:
        """Record the end of a response that is not interim (called by the parser)."""
        self.has_ended = self.parser.get_status_code() not in INTERIM_STATUSES
