"""
Relay calls with uvicorn and httpcore and no further logic, as a baseline.

Usage:
  bare_relay LISTEN TARGET
"""

from docopt import docopt

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.http_channel import HttpChannel
from briarthread_standins.run_standin import run_standin

MAX_BODY_BYTES = 64 * 1024 * 1024
STREAM_TYPE = "text/event-stream"


class BareRelay:
    """Forward each call to one address and relay its response."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.channel = HttpChannel()
        self.app = App([Route("*", "/", self._handle)])

    async def _handle(self, call: Call) -> None:
        body = await call.read_body(MAX_BODY_BYTES)
        request = ChannelRequest(call.method, self.target, call.path, (), body)
        async with self.channel.stream(request) as response:
            content_type = response.headers.get("content-type", "")
            headers = [("content-type", content_type)]
            if content_type.startswith(STREAM_TYPE):
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
