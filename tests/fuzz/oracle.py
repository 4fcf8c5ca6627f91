"""What may have run, as the callers can know it."""

from dataclasses import dataclass, field

from briarthread_standins.world import Answer

NOT_RUN = "not-run"
OK = 200


@dataclass(slots=True)
class KeyHistory:
    """Hold the answers to all asks of one key, and the asks still open."""

    open: int = 0
    disconnects: int = 0
    responses: list[Answer] = field(default_factory=list)


class Oracle:
    """
    Compare what callers were told with what ran.

    Each key is sent with a body of its own, so that the targets' counts
    tell how often the key ran and whose answer an answer is.
    """

    def __init__(self) -> None:
        self.keys: dict[str, KeyHistory] = {}
        self.violations: list[str] = []

    def record_request(self, key: str) -> None:
        """Note that a key is asked."""
        self.keys.setdefault(key, KeyHistory()).open += 1

    def record_response(self, key: str, answer: Answer, runs: int) -> None:
        """Note an answer, and how often the key has run by now."""
        history = self.keys[key]
        history.open -= 1
        history.responses.append(answer)
        if answer.status == OK and key.encode() not in answer.body:
            self.violations.append(f"{key}: got another's answer {answer.body!r}")
        if answer.outcome == NOT_RUN and runs:
            self.violations.append(
                f"{key}: told not-run after {runs} run(s), {answer.body!r}"
            )

    def record_disconnect(self, key: str) -> None:
        """Note that an ask ended without an answer."""
        history = self.keys[key]
        history.open -= 1
        history.disconnects += 1

    def check_runs(self, key: str, runs: int) -> None:
        """Check the count of a key at any time."""
        if runs > 1:
            self.violations.append(f"{key}: ran {runs} times")

    def check_final_runs(self, key: str, runs: int) -> None:
        """Check a key once nothing of it is open."""
        self.check_runs(key, runs)
        history = self.keys[key]
        told = {answer.outcome for answer in history.responses}
        if told == {NOT_RUN} and not history.disconnects and runs:
            self.violations.append(f"{key}: every ask was told not-run, ran {runs}")
        if any(a.status == OK for a in history.responses) and not runs:
            self.violations.append(f"{key}: answered but never ran")
