"""
Relay calls with uvicorn and httpcore and no logic, as a yardstick.

Usage:
  bare_relay LISTEN TARGET
"""

from docopt import docopt

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.http_channel import HttpChannel
from briarthread_standins.run_standin import run_standin

LIMIT = 64 * 1024 * 1024
STREAM_TYPE = "text/event-stream"


class BareRelay:
    """Pass each call on to one address and its answer back."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.channel = HttpChannel()
        self.app = App([Route("*", "/", self._handle)])

    async def _handle(self, call: Call) -> None:
        body = await call.read_body(LIMIT)
        request = ChannelRequest(call.method, self.target, call.path, (), body)
        async with self.channel.stream(request) as response:
            kind = response.headers.get("content-type", "")
            headers = [("content-type", kind)]
            if kind.startswith(STREAM_TYPE):
                await call.start(response.status, headers)
                async for chunk in response.body:
                    await call.send_chunk(chunk)
                await call.finish()
                return
            parts = [chunk async for chunk in response.body]
            await call.reply(response.status, b"".join(parts), headers)


def main() -> None:
    """Run the relay."""
    arguments = docopt(__doc__)
    run_standin(BareRelay(arguments["TARGET"]).app, arguments["LISTEN"])


if __name__ == "__main__":
    main()
