"""Metrics of a process."""

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

REQUEST_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.42, 1.0, 2.5, 10.0)


class Metrics:
    """
    Hold the metrics of a process in a separate registry.

    Refusals and retries are counted by reason, which is one of the error kinds.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "briarthread_requests",
            "Requests that came in.",
            ["service"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "briarthread_refusals",
            "Requests or attempts refused, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.retries = Counter(
            "briarthread_retries",
            "Attempts sent again, by the reason of the failed one.",
            ["reason"],
            registry=self.registry,
        )
        self.limited_attempts = Counter(
            "briarthread_limited_attempts",
            "Attempts at targets that name a limit, by what became of them.",
            ["decision"],
            registry=self.registry,
        )
        self.backoffs = Counter(
            "briarthread_backoffs",
            "Pauses that targets asked for.",
            registry=self.registry,
        )
        self.attempts_in_backoff = Counter(
            "briarthread_attempts_in_backoff",
            "Attempts that began while their target wanted no requests.",
            registry=self.registry,
        )
        self.crash_decisions = Counter(
            "briarthread_crash_decisions",
            "Decisions on requests under which targets crashed.",
            ["decision"],
            registry=self.registry,
        )
        self.urgency_decisions = Counter(
            "briarthread_urgency_decisions",
            "Admissions to groups of services with priorities, by reason.",
            ["priority", "decision", "reason"],
            registry=self.registry,
        )
        self.callers_left = Counter(
            "briarthread_callers_left",
            "Requests whose caller left before the answer was complete.",
            ["service"],
            registry=self.registry,
        )
        self.abandoned_attempts = Counter(
            "briarthread_abandoned_attempts",
            "Attempts ended because their caller left or their deadline passed.",
            ["answered"],
            registry=self.registry,
        )
        self.replays = Counter(
            "briarthread_replays",
            "Answers given from memory to a key asked again.",
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "briarthread_request_seconds",
            "Seconds from a request's arrival to the end of its answer.",
            buckets=REQUEST_BUCKETS_SECONDS,
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)
