"""
Send requests in closed loops and print their latencies.

Usage:
  load_client ADDRESS PATH KEY BODY CALLERS REQUESTS

The output is JSON: total seconds, failures, and each latency in seconds.
"""

import anyio
import msgspec
from docopt import docopt

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.http_channel import HttpChannel

OK = 200


async def run(
    request: ChannelRequest, callers: int, requests: int
) -> dict[str, object]:
    """Send the requests and return the total time, the failures and the latencies."""
    channel = HttpChannel()
    latencies: list[float] = []
    failures = 0

    async def send() -> bool:
        try:
            async with channel.stream(request) as response:
                async for _ in response.body:
                    pass
                return response.status == OK
        except ChannelError:
            return False

    async def send_in_sequence(count: int) -> None:
        nonlocal failures
        for _ in range(count):
            start = anyio.current_time()
            failures += not await send()
            latencies.append(anyio.current_time() - start)

    started = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(send_in_sequence, requests // callers)
    seconds = anyio.current_time() - started
    await channel.close()
    return {"seconds": seconds, "failures": failures, "latencies": latencies}


def main() -> None:
    """Run the client."""
    arguments = docopt(__doc__)
    headers = (
        ("authorization", f"Bearer {arguments['KEY']}"),
        ("content-type", "application/json"),
    )
    request = ChannelRequest(
        "POST",
        arguments["ADDRESS"],
        arguments["PATH"],
        headers,
        arguments["BODY"].encode(),
    )
    callers, requests = int(arguments["CALLERS"]), int(arguments["REQUESTS"])
    print(msgspec.json.encode(anyio.run(run, request, callers, requests)).decode())


if __name__ == "__main__":
    main()
