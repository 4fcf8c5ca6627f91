"""Crowds of clients that do not behave, before a real entry and a real agent."""

from pathlib import Path

import pytest

from crowds.client_bytes import ClientKind
from crowds.crowd import Behaviour
from crowds.crowd_deployment import MAX_FILES, MEMORY_MB, play_crowd

KIBIBYTE = 1024
CROWD = 60
"""Clients at each address."""
SMALL_CROWD = 5
LARGE_CROWD = 90
PRESS_SECONDS = 2.0
MOST_BYTES = 2048 * KIBIBYTE
ALLOWED_HEAD_BYTES = 15 * KIBIBYTE
"""Size of a head that the operator's limit of 16 KiB allows."""
LARGE_HEAD_BYTES = 30 * KIBIBYTE
READ_BYTES = 32 * KIBIBYTE
MANY_CONNECTIONS = 160
"""Connections at each address that together are more than a process may open."""

CROWDS = [
    (Behaviour(ClientKind.NOTHING, 0), MANY_CONNECTIONS),
    (Behaviour(ClientKind.EMPTY_LINES, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.EMPTY_LINES, MOST_BYTES, slow=True), MANY_CONNECTIONS),
    (Behaviour(ClientKind.FIRST_LINE, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.FIELD_NAME, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.FIELD_VALUE, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.SMALL_FIELDS, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.SMALL_FIELDS, LARGE_HEAD_BYTES), CROWD),
    (Behaviour(ClientKind.SMALL_FIELDS, ALLOWED_HEAD_BYTES), LARGE_CROWD),
    (Behaviour(ClientKind.BODY, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.CHUNKS, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.SMALL_CHUNKS, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.CHUNK_SIZE, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.CHUNK_EXTENSION, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.TRAILER_VALUE, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.TRAILER_FIELDS, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.PEER_BODY, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.COMPRESSED_BODY, MOST_BYTES), SMALL_CROWD),
    (Behaviour(ClientKind.LARGE_REQUESTS, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.REQUESTS, READ_BYTES), CROWD),
    (Behaviour(ClientKind.REQUESTS, MOST_BYTES, reads=False), CROWD),
    (Behaviour(ClientKind.LONG_TEXTS, MOST_BYTES), CROWD),
    (Behaviour(ClientKind.AFTER_CLOSE, MOST_BYTES), CROWD),
]


@pytest.mark.parametrize(("behaviour", "size"), CROWDS, ids=str)
def test_process_outlives_crowd(
    tmp_path: Path, behaviour: Behaviour, size: int
) -> None:
    """Guards against clients that end a process by what it keeps for them."""
    figures = play_crowd(tmp_path, behaviour, size, PRESS_SECONDS)
    print(figures.describe())
    for process in figures.processes.values():
        assert process.exit_code is None, figures.describe()
        assert process.peak_bytes < MEMORY_MB * 1e6, figures.describe()
        assert process.open_files < MAX_FILES, figures.describe()
    assert set(figures.statuses.values()) == {200}, figures.describe()
    assert figures.held == {0.0}, figures.describe()
