"""Specifications of the sections of a services text."""

from briarthread_common.conf.option import Option
from briarthread_common.conf.option_kind import OptionKind
from briarthread_common.conf.section_spec import SectionSpec

SERVICE = SectionSpec(
    "service",
    "A service that callers reach by its name.",
    (
        Option(
            "kind",
            OptionKind.TEXT,
            "plain",
            "Kind of its targets.",
            choices=("engine", "plain"),
        ),
        Option(
            "data_centres", OptionKind.NAMES, None, "Data centres with its targets."
        ),
        Option("depends_on", OptionKind.NAMES, "", "Services that it calls."),
        Option(
            "idempotent",
            OptionKind.FLAG,
            "no",
            "Whether its calls may be retried; GET always may.",
        ),
        Option(
            "deadline", OptionKind.SECONDS, "10", "Deadline of a call without one, s."
        ),
        Option(
            "max_deadline", OptionKind.SECONDS, "60", "Longest deadline of a call, s."
        ),
        Option(
            "patience",
            OptionKind.SECONDS,
            "2",
            "Time without a response after which an attempt's state is queried, s.",
        ),
        Option(
            "retry_horizon",
            OptionKind.SECONDS,
            "120",
            "Time for which a response is stored for its key, s.",
        ),
        Option(
            "shares",
            OptionKind.INTEGER,
            "12",
            "Shares of its keys in each data centre; cannot be changed.",
            minimum=1,
        ),
        Option("slots", OptionKind.INTEGER, "8", "Concurrent calls of a target.", 1),
        Option(
            "queue", OptionKind.INTEGER, "64", "Calls that may wait at a target.", 0
        ),
        Option("body_bytes", OptionKind.INTEGER, "1048576", "Largest body, bytes.", 0),
        Option(
            "answer_bytes", OptionKind.INTEGER, "4194304", "Largest answer, bytes.", 0
        ),
    ),
)

ACCOUNT = SectionSpec(
    "account",
    "A client account.",
    (
        Option(
            "keys",
            OptionKind.DIGESTS,
            None,
            "Digests of its keys; two while one is being replaced.",
        ),
        Option(
            "home",
            OptionKind.TEXT,
            None,
            "Data centre that keeps its idempotency keys.",
        ),
        Option(
            "weight", OptionKind.NUMBER, "1", "Relative share of a busy target.", 0.01
        ),
        Option(
            "rate", OptionKind.NUMBER, "100", "Calls per second in a data centre.", 0.01
        ),
        Option(
            "concurrency",
            OptionKind.INTEGER,
            "64",
            "Concurrent calls in a data centre.",
            1,
        ),
        Option(
            "priority",
            OptionKind.INTEGER,
            "0",
            "Priority at a target; higher is served first.",
            0,
        ),
        Option("services", OptionKind.NAMES, "", "Services it may call; empty: all."),
    ),
)

GROUP = SectionSpec(
    "group",
    "Targets of a service that run in lock-step with one expert map.",
    (
        Option("service", OptionKind.TEXT, None, "Service that they serve."),
        Option("data_centre", OptionKind.TEXT, None, "Data centre of the targets."),
        Option("targets", OptionKind.NAMES, None, "Their instances, in rank order."),
        Option("ranks_each", OptionKind.INTEGER, "1", "Ranks of each target.", 1),
        Option("layers", OptionKind.INTEGER, "1", "Layers with experts.", 1),
        Option("experts", OptionKind.INTEGER, "256", "Experts of a layer.", 1),
        Option(
            "slots", OptionKind.INTEGER, "9", "Expert slots of a rank per layer.", 1
        ),
        Option(
            "expert_bytes",
            OptionKind.INTEGER,
            "44040192",
            "Bytes of one expert's weights in one layer.",
            1,
        ),
    ),
)

DATA_CENTRE = SectionSpec(
    "data_centre",
    "A data centre with its own entries and targets.",
    (Option("region", OptionKind.TEXT, "default", "Region of the data centre."),),
)

OBJECTIVE = SectionSpec(
    "objective",
    "Weights of the objective of expert placement.",
    (
        Option("skew_weight", OptionKind.NUMBER, "1", "Weight of step-time skew.", 0),
        Option(
            "rebalance_weight",
            OptionKind.NUMBER,
            "1",
            "Weight of the cost of moving experts.",
            0,
        ),
    ),
)

TEXT_SPECS = {
    spec.name: spec for spec in (SERVICE, ACCOUNT, GROUP, DATA_CENTRE, OBJECTIVE)
}
UNNAMED_SECTIONS = frozenset({OBJECTIVE.name})
