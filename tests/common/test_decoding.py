"""Decoding of what other programs write raises one error, whatever the bytes are."""

import json
import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarthread_common.core.decoding import (
    MAX_NESTING,
    WholeNumber,
    decode_json,
    decode_row,
    read_amount,
    read_whole_number,
)
from briarthread_common.core.exceptions import DecodeError, PlatformError
from briarthread_common.feeds.feed import Feed
from briarthread_common.messages.blocklist_entry import decode_blocklist
from briarthread_common.platform.feed_store import _decode, head_version
from briarthread_common.platform.table_messages import Row
from briarthread_common.shares.share_row import ShareRow
from briarthread_common.shares.share_view import ShareView
from briarthread_common.text.text_store import META, UNKNOWN_META, _meta

MAX_EXAMPLES = 1500
SHIPPED = ("common", "entry", "agent")
DEEP = "[" * 1500 + "]" * 1500
MANY_DIGITS = "9" * 5000
CALLS = re.compile(r"msgspec\.json\.decode|json\.loads|JSONDecoder|\bDecoder\(")


class Numbers(msgspec.Struct):
    """A message whose fields have other types than what is sent."""

    count: WholeNumber = 0
    names: list[str] = []


@given(st.binary(max_size=40) | st.text(max_size=40))
@settings(max_examples=MAX_EXAMPLES, derandomize=True, deadline=None)
def test_any_bytes_are_decoded_or_raise_the_one_error(raw: bytes | str) -> None:
    try:
        decode_json(raw, Numbers)
    except DecodeError:
        return


@pytest.mark.parametrize(
    "raw",
    [
        '{"note":' + DEEP + "}",
        '{"note":' + '{"a":' * 5000,
        '{"count":' + MANY_DIGITS + "}",
        '{"count":' + "9" * 400 + "}",
        '{"count":-1}',
        '{"names":["\ud800"]}',
        '{"names":["\\ud800"]}',
    ],
)
def test_unusual_json_raises_the_one_error(raw: str) -> None:
    """Guards against a RecursionError or a ValueError that ends the reading task."""
    with pytest.raises(DecodeError):
        decode_json(raw, Numbers)
    with pytest.raises(DecodeError):
        decode_row(raw, Numbers)


@pytest.mark.parametrize(("nesting", "is_read"), [(0, True), (1, False)])
@pytest.mark.parametrize("frames", [0, 600])
def test_row_is_read_alike_at_any_depth_of_the_stack(
    nesting: int, is_read: bool, frames: int
) -> None:
    """Guards against a row that some processes use and others reject."""
    arrays = MAX_NESTING - 1 + nesting
    raw = '{"note":' + "[" * arrays + '"]}[{"' + "]" * arrays + "}"

    def decode(frames_left: int) -> bool:
        if frames_left:
            return decode(frames_left - 1)
        try:
            decode_row(raw, Numbers)
        except DecodeError:
            return False
        return True

    assert decode(frames) is is_read


@pytest.mark.parametrize(
    "text", ["", "-1", "1.5", "nan", "\u0663", "\xb2", "1e3", " 1"]
)
def test_text_that_is_no_whole_number_states_none(text: str) -> None:
    assert read_whole_number(text) is None
    assert read_whole_number(MANY_DIGITS) is None


@pytest.mark.parametrize("text", ["nan", "inf", "-inf", "-1", "", "x", "1e999", "0x1"])
def test_text_that_is_no_amount_is_rejected(text: str) -> None:
    with pytest.raises(DecodeError):
        read_amount(text)


def test_invalid_blocklist_raises_the_one_error() -> None:
    for raw in ("{", DEEP, f'[{{"at":0,"note":{DEEP}}}]'):
        with pytest.raises(DecodeError, match="blocklist"):
            decode_blocklist(raw)


@pytest.mark.parametrize("raw", ["", "x", MANY_DIGITS, DEEP])
def test_invalid_row_of_a_stored_feed_is_an_error_of_the_platform(raw: str) -> None:
    """Guards against a row that ends each process that reads the feed."""
    row = Row("feeds/text/head", raw, 1)
    with pytest.raises(PlatformError):
        head_version(row)
    with pytest.raises(PlatformError):
        _decode(row)
    assert _meta({META: raw}) == UNKNOWN_META


@pytest.mark.parametrize("raw", ["", "{}", DEEP])
def test_invalid_row_of_a_share_leaves_the_known_one_in_force(raw: str) -> None:
    row = ShareRow("diary", "palermo", 0, "agent-1", "10.1.0.1:9", "i", 1)
    feed = Feed("shares")
    view = ShareView(feed)
    feed.items = {"diary/palermo/0": raw}
    assert view.get("diary", "palermo", 0) is None
    feed.items = {"diary/palermo/0": msgspec.json.encode(row).decode()}
    assert view.get("diary", "palermo", 0) == row
    feed.items = {"diary/palermo/0": raw}
    assert view.get("diary", "palermo", 0) == row


def test_json_is_decoded_in_one_place_only() -> None:
    """Guards against a reader that knows only some of the decoder's errors."""
    root = Path(__file__).parents[2]
    folders = [root / "packages" / name for name in SHIPPED] + [root / "platform"]
    found = {
        path.name
        for folder in folders
        for path in folder.rglob("src/**/*.py")
        if CALLS.search(path.read_text(encoding="utf-8"))
    }
    assert found == {"decoding.py"}


def test_config_with_unusual_numbers_is_read_or_rejected() -> None:
    """Guards against numbers with which no calculation is possible."""
    for number in (MANY_DIGITS, "9" * 400, "1e400", "-1"):
        with pytest.raises(DecodeError):
            decode_row(json.dumps({"count": 0}).replace("0", number), Numbers)
