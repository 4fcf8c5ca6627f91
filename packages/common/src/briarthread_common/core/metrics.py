"""Metrics of a process."""

from typing import Protocol

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

REQUEST_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.42, 1.0, 2.5, 10.0)


class CountedClients(Protocol):
    """The clients of an address; ``held`` is in bytes."""

    name: str
    held: int


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
        self.cold_attempts = Counter(
            "briarthread_cold_attempts",
            "Attempts at cold targets, by what became of their request for a token.",
            ["decision"],
            registry=self.registry,
        )
        self.cold_reports = Counter(
            "briarthread_cold_reports",
            "Targets that became cold in this entry's view, by the source.",
            ["source"],
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
        self.caller_connections = Gauge(
            "briarthread_caller_connections",
            "Connections of callers that are open.",
            registry=self.registry,
        )
        self.rejected_connections = Counter(
            "briarthread_rejected_connections",
            "Connections of callers that were reset unread, since too many were open.",
            registry=self.registry,
        )
        self.client_refusals = Counter(
            "briarthread_client_refusals",
            "Clients refused or disconnected, by address and reason.",
            ["address", "reason"],
            registry=self.registry,
        )
        self.client_held_bytes = Gauge(
            "briarthread_client_held_bytes",
            "Bytes that the clients of an address hold beside what each has free.",
            ["address"],
            registry=self.registry,
        )
        self.crash_decisions = Counter(
            "briarthread_crash_decisions",
            "Decisions on requests under which targets crashed.",
            ["decision"],
            registry=self.registry,
        )
        self.target_conditions = Counter(
            "briarthread_target_conditions",
            "Changes of the condition of plain targets, by the new condition.",
            ["condition"],
            registry=self.registry,
        )
        self.plain_choices = Counter(
            "briarthread_plain_choices",
            "Plain targets chosen as a probe or despite their distance.",
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
        self.memory_decisions = Counter(
            "briarthread_memory_decisions",
            "Decisions on requests because of the memory budget or slow readers.",
            ["decision"],
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "briarthread_held_bytes",
            "Bytes reserved for request bodies and buffered responses.",
            registry=self.registry,
        )
        self.replays = Counter(
            "briarthread_replays",
            "Answers given from memory to a key asked again.",
            registry=self.registry,
        )
        self.evacuated_data_centres = Gauge(
            "briarthread_evacuated_data_centres",
            "Data centres that the operator has evacuated.",
            registry=self.registry,
        )
        self.evacuation_changes = Counter(
            "briarthread_evacuation_changes",
            "Evacuations of data centres that started or ended.",
            ["change"],
            registry=self.registry,
        )
        self.target_restarts = Counter(
            "briarthread_target_restarts",
            "Targets that were started anew under their name.",
            registry=self.registry,
        )
        self.target_checks = Counter(
            "briarthread_target_checks",
            "Checks which target answers at an address, by their result.",
            ["result"],
            registry=self.registry,
        )
        self.target_connections = Counter(
            "briarthread_target_connections",
            "Connections that were opened to targets.",
            registry=self.registry,
        )
        self.surplus_bytes = Counter(
            "briarthread_surplus_bytes",
            "Times that a target sent bytes that no call asked for.",
            registry=self.registry,
        )
        self.former_run_reports = Counter(
            "briarthread_former_run_reports",
            "Reports on former runs of targets that were ignored, by what they state.",
            ["kind"],
            registry=self.registry,
        )
        self.task_failures = Counter(
            "briarthread_task_failures",
            "Unexpected errors of background tasks, by task.",
            ["task"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "briarthread_request_seconds",
            "Seconds from a request's arrival to the end of its answer.",
            buckets=REQUEST_BUCKETS_SECONDS,
            registry=self.registry,
        )

    def count_client_refusal(self, address: str, reason: str) -> None:
        """Count a client that was refused or disconnected."""
        self.client_refusals.labels(address, reason).inc()

    def observe_clients(self, clients: CountedClients) -> None:
        """Show what the clients of an address hold."""
        gauge = self.client_held_bytes.labels(clients.name)
        gauge.set_function(lambda: clients.held)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)
