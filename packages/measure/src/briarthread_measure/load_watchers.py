"""
Keep load streams to one agent open, as the entries that watch it do.

Usage:
  load_watchers ADDRESS COUNT EVERY
"""

import anyio
from docopt import docopt

from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.http_channel import HttpChannel


async def read_stream(address: str, interval: float) -> None:
    """Read one load stream until it ends."""
    request = ChannelRequest("GET", address, f"/agent/v1/load?every={interval}")
    async with HttpChannel().stream(request) as response:
        async for _ in response.body:
            pass


async def read_streams(address: str, count: int, interval: float) -> None:
    """Read all load streams until the process is terminated."""
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(read_stream, address, interval)
        await anyio.sleep_forever()


def main() -> None:
    """Run the readers."""
    arguments = docopt(__doc__)
    anyio.run(
        read_streams,
        arguments["ADDRESS"],
        int(arguments["COUNT"]),
        float(arguments["EVERY"]),
    )


if __name__ == "__main__":
    main()
