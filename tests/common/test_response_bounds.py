"""Bounds on the bytes of a response that are no part of an answer."""

import pytest

from briarthread_common.core.exceptions import InvalidResponseError
from briarthread_common.http.response_bounds import (
    INTERIM_BURST,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_PARTIAL_SECONDS,
    SMALL_CHUNK_BURST,
    SMALL_CHUNK_BYTES,
    SMALL_CHUNKS_PER_SECOND,
    ResponseBounds,
)

INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def read_head(head: bytes) -> ResponseBounds:
    bounds = ResponseBounds()
    bounds.note_received(head, now=0.0)
    bounds.end_head(now=0.0)
    return bounds


def test_head_up_to_the_largest_size_is_read() -> None:
    bounds = ResponseBounds()
    bounds.note_received(b"x" * MAX_HEAD_BYTES, now=0.0)
    bounds.check(now=0.1)
    bounds.note_received(b"x", now=0.2)
    with pytest.raises(InvalidResponseError):
        bounds.check(now=0.3)


def test_target_may_be_silent_before_and_between_heads() -> None:
    """Guards against a time limit that ends the wait for a slow answer."""
    bounds = ResponseBounds()
    bounds.check(now=60.0)
    bounds.note_received(INTERIM, now=60.0)
    bounds.check(now=60.0)
    bounds.note_received(INTERIM, now=90.0)
    bounds.check(now=120.0)


def test_head_that_goes_on_arriving_is_given_up() -> None:
    bounds = ResponseBounds()
    bounds.note_received(INTERIM + HEAD[:9], now=1.0)
    bounds.check(now=1.0 + MAX_PARTIAL_SECONDS)
    with pytest.raises(InvalidResponseError):
        bounds.check(now=1.1 + MAX_PARTIAL_SECONDS)


def test_interim_responses_are_bounded_at_any_pace() -> None:
    bounds = ResponseBounds()
    bounds.note_received(INTERIM * INTERIM_BURST, now=0.0)
    bounds.check(now=0.0)
    bounds.note_received(INTERIM, now=0.1)
    with pytest.raises(InvalidResponseError):
        bounds.check(now=0.1)


def test_stream_of_single_tokens_may_go_on_for_long() -> None:
    """Guards against a bound on small chunks that a fast stream would exceed."""
    bounds = read_head(CHUNKED_HEAD)
    for number in range(20_000):
        bounds.note_received(b"14\r\nid: 1\ndata: a token\n\n\r\n", now=number / 500)
        bounds.note_chunk(20, now=number / 500)


def test_small_chunks_beyond_burst_and_rate_are_given_up() -> None:
    bounds = read_head(CHUNKED_HEAD)
    allowed = SMALL_CHUNK_BURST + int(SMALL_CHUNKS_PER_SECOND)
    for _ in range(allowed):
        bounds.note_chunk(SMALL_CHUNK_BYTES - 1, now=1.0)
    with pytest.raises(InvalidResponseError):
        bounds.note_chunk(1, now=1.0)


def test_framing_is_bounded_by_the_body() -> None:
    bounds = read_head(CHUNKED_HEAD)
    bounds.note_received(b"x" * MAX_FRAMING_BYTES, now=0.0)
    with pytest.raises(InvalidResponseError):
        bounds.note_chunk(1, now=0.0)


def test_chunk_size_that_goes_on_arriving_is_given_up() -> None:
    bounds = read_head(CHUNKED_HEAD)
    bounds.note_received(b"3\r\nend\r\n0", now=1.0)
    bounds.note_chunk(3, now=1.0)
    for number in range(10):
        bounds.check(now=5.0 + number / 5)
        bounds.note_received(b"0", now=5.0 + number / 5)
    with pytest.raises(InvalidResponseError):
        bounds.check(now=5.1 + MAX_PARTIAL_SECONDS)


@pytest.mark.parametrize(
    ("received", "has_excess"),
    [
        (HEAD + b"end", False),
        (INTERIM + HEAD + b"end", False),
        (HEAD + b"end" + HEAD, True),
        (HEAD + b"endx", True),
        (CHUNKED_HEAD + b"3\r\nend\r\n0\r\n\r\n", False),
    ],
)
def test_bytes_after_a_response_are_noticed(received: bytes, has_excess: bool) -> None:
    """Guards against a connection whose next response is what followed the last."""
    bounds = read_head(received)
    bounds.note_chunk(3, now=0.0)
    assert bounds.has_excess() is has_excess


@pytest.mark.parametrize(
    ("received", "expected"),
    [
        (b"HTT", False),
        (HEAD, False),
        (INTERIM + HEAD, False),
        (HEAD + b"a body with HTTP/1.1 200 in it", False),
        (b"\r\n" + HEAD, True),
        (b"rest of a body" + HEAD, True),
        (b"HTTP/1.1 103 Early Hi" + HEAD, True),
        (b"HTTP/1.1 200 OK\r\nServer: a\r\n" + HEAD, True),
    ],
)
def test_bytes_before_a_head_are_noticed(received: bytes, expected: bool) -> None:
    bounds = ResponseBounds()
    bounds.note_received(received, now=0.0)
    assert bounds.has_foreign_bytes() is expected
