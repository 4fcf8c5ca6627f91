"""Test oracle for at-most-once execution, based on the callers' responses."""

from dataclasses import dataclass, field

from briarthread_standins.world import CallerResponse

NOT_RUN = "not-run"
OK = 200


@dataclass(slots=True)
class KeyHistory:
    """Responses to all requests of one key, and the number of open requests."""

    open_requests: int = 0
    disconnects: int = 0
    responses: list[CallerResponse] = field(default_factory=list)


class Oracle:
    """
    Compares the responses to callers with the runs at the targets.

    Each key is sent with its own body, so that the targets' counts show how often
    the key ran, and a response shows to which key it belongs.
    """

    def __init__(self) -> None:
        self.keys: dict[str, KeyHistory] = {}
        self.violations: list[str] = []

    def record_request(self, key: str) -> None:
        """Record that a request with the key was sent."""
        self.keys.setdefault(key, KeyHistory()).open_requests += 1

    def record_response(self, key: str, response: CallerResponse, runs: int) -> None:
        """Record a response, and how often the key has run by now."""
        history = self.keys[key]
        history.open_requests -= 1
        history.responses.append(response)
        if response.status == OK and key.encode() not in response.body:
            self.violations.append(
                f"{key}: got the response of another key: {response.body!r}"
            )
        if response.outcome == NOT_RUN and runs:
            self.violations.append(
                f"{key}: outcome not-run after {runs} run(s): {response.body!r}"
            )

    def record_disconnect(self, key: str) -> None:
        """Record that a request ended without a response."""
        history = self.keys[key]
        history.open_requests -= 1
        history.disconnects += 1

    def check_runs(self, key: str, runs: int) -> None:
        """Check that a key ran at most once; may be called at any time."""
        if runs > 1:
            self.violations.append(f"{key}: {runs} runs")

    def check_final_runs(self, key: str, runs: int) -> None:
        """Check the runs of a key that has no open requests."""
        self.check_runs(key, runs)
        history = self.keys[key]
        outcomes = {response.outcome for response in history.responses}
        if outcomes == {NOT_RUN} and not history.disconnects and runs:
            self.violations.append(
                f"{key}: outcome not-run for all requests, runs: {runs}"
            )
        if any(one.status == OK for one in history.responses) and not runs:
            self.violations.append(f"{key}: successful response, but no run")
