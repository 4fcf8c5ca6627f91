"""Concurrent calls to many processes."""

from collections.abc import Mapping
from typing import TypeVar

import anyio

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import call_json

T = TypeVar("T")


async def call_many(
    channel: Channel,
    path: str,
    messages: Mapping[str, object],
    answer_type: type[T],
    timeout: float,
    compressed: bool = False,
) -> dict[str, T]:
    """
    Send each address its message and return the answers by address.

    A message of ``None`` is sent as a GET. Addresses that fail or take longer
    than ``timeout`` seconds are omitted from the result; for ``compressed`` see
    call_json().
    """
    answers: dict[str, T] = {}

    async def call_one(address: str, message: object) -> None:
        method = "GET" if message is None else "POST"
        try:
            answers[address] = await call_json(
                channel,
                address,
                method,
                path,
                message,
                answer_type,
                timeout,
                compressed,
            )
        except ChannelError:
            return

    async with anyio.create_task_group() as tasks:
        for address, message in messages.items():
            tasks.start_soon(call_one, address, message)
    return answers
