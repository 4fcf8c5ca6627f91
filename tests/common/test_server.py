"""The listening socket of a process."""

import socket

import pytest

from briarthread_common.core.exceptions import ListenError
from briarthread_common.http.server import open_listener

ANY_PORT = "127.0.0.1:0"


def test_listener_says_tcp_so_that_answers_are_sent_without_delay() -> None:
    with open_listener(ANY_PORT) as listener:
        assert listener.proto == socket.IPPROTO_TCP


def test_address_in_use_is_a_plain_error() -> None:
    with open_listener(ANY_PORT) as listener:
        host, port = listener.getsockname()
        with pytest.raises(ListenError, match="cannot listen"):
            open_listener(f"{host}:{port}")
