"""
Hold load streams to one agent, as the entries that watch it do.

Usage:
  load_watchers ADDRESS COUNT EVERY
"""

import anyio
from docopt import docopt

from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.http_channel import HttpChannel


async def watch(address: str, every: float) -> None:
    """Follow one stream."""
    request = ChannelRequest("GET", address, f"/agent/v1/load?every={every}")
    async with HttpChannel().stream(request) as response:
        async for _ in response.body:
            pass


async def watch_all(address: str, count: int, every: float) -> None:
    """Follow all streams until the process is ended."""
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(watch, address, every)
        await anyio.sleep_forever()


def main() -> None:
    """Run the watchers."""
    arguments = docopt(__doc__)
    anyio.run(
        watch_all,
        arguments["ADDRESS"],
        int(arguments["COUNT"]),
        float(arguments["EVERY"]),
    )


if __name__ == "__main__":
    main()
