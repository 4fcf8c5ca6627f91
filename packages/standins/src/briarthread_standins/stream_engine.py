"""A stand-in for an engine that streams tokens in steps."""

from dataclasses import dataclass

import anyio
import msgspec
from docopt import docopt

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_standins.run_standin import run_standin

USAGE = """
Stand in for a model engine with continuous batching.

Usage:
  stream_engine [--step=SECONDS] LISTEN

Options:
  --step=SECONDS  Duration of a step [default: 0.006].
"""
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A request for a number of tokens."""

    tokens: int
    prompt: str = ""


class StreamEngine:
    """
    Stream one token per step to each running request, as server-sent events.

    A request whose caller disconnects leaves the batch; ``cancelled`` counts those.
    """

    def __init__(self, step: float = 0.006) -> None:
        self.step = step
        self.batch = 0
        self.cancelled = 0
        self.app = App(
            [
                Route("GET", "/standin/batch", self._handle_batch),
                Route("POST", "/", self._handle_generate),
            ]
        )

    async def _handle_generate(self, call: Call) -> None:
        request = await call.read_json(GenerateRequest, MAX_BODY_BYTES)
        await call.start(200, [("content-type", "text/event-stream")])
        self.batch += 1
        finished = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
                await self._send_tokens(call, request.tokens)
                finished = True
                tasks.cancel_scope.cancel()
        finally:
            self.batch -= 1
            self.cancelled += not finished

    async def _send_tokens(self, call: Call, tokens: int) -> None:
        for number in range(tokens):
            await anyio.sleep(self.step)
            data = msgspec.json.encode({"token": f"t{number}"})
            await call.send_chunk(b"data: " + data + b"\n\n")
        await call.send_chunk(b"data: [DONE]\n\n")
        await call.finish()

    async def _handle_batch(self, call: Call) -> None:
        await call.reply_json({"batch": self.batch, "cancelled": self.cancelled})


def main() -> None:
    """Run the stand-in as a process."""
    arguments = docopt(USAGE)
    engine = StreamEngine(float(arguments["--step"]))
    run_standin(engine.app, arguments["LISTEN"])


if __name__ == "__main__":
    main()
