"""The sections that a services text may hold."""

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
            "What its targets are.",
            choices=("engine", "plain"),
        ),
        Option("data_centres", OptionKind.NAMES, None, "Where it has targets."),
        Option("depends_on", OptionKind.NAMES, "", "Services that it calls in turn."),
        Option(
            "idempotent",
            OptionKind.FLAG,
            "no",
            "Whether its calls may be repeated; GET always may.",
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
            "Silence after which an attempt is asked about, s.",
        ),
        Option(
            "retry_horizon",
            OptionKind.SECONDS,
            "120",
            "How long an answer is kept for its key, s.",
        ),
        Option(
            "shares",
            OptionKind.INTEGER,
            "12",
            "Shares of its keys in each data centre; fixed once set.",
            minimum=1,
        ),
        Option("slots", OptionKind.INTEGER, "8", "Calls a target runs at a time.", 1),
        Option("queue", OptionKind.INTEGER, "64", "Calls that may wait there.", 0),
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
        Option("weight", OptionKind.NUMBER, "1", "Its part of a busy target.", 0.01),
        Option(
            "rate", OptionKind.NUMBER, "100", "Calls a second in a data centre.", 0.01
        ),
        Option("concurrency", OptionKind.INTEGER, "64", "Calls in flight there.", 1),
        Option(
            "priority", OptionKind.INTEGER, "0", "Higher goes first at a target.", 0
        ),
        Option("services", OptionKind.NAMES, "", "Services it may call; empty: all."),
    ),
)

GROUP = SectionSpec(
    "group",
    "Targets of a service that step together on one expert map.",
    (
        Option("service", OptionKind.TEXT, None, "Service that they serve."),
        Option("data_centre", OptionKind.TEXT, None, "Where they are."),
        Option("targets", OptionKind.NAMES, None, "Their instances, in rank order."),
        Option("ranks_each", OptionKind.INTEGER, "1", "Ranks of each target.", 1),
        Option("layers", OptionKind.INTEGER, "1", "Layers with experts.", 1),
        Option("experts", OptionKind.INTEGER, "256", "Experts of a layer.", 1),
        Option("slots", OptionKind.INTEGER, "9", "Experts a rank holds a layer.", 1),
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
    "A data centre with entries and targets of its own.",
    (Option("region", OptionKind.TEXT, "default", "Region it lies in."),),
)

OBJECTIVE = SectionSpec(
    "objective",
    "What is weighed when experts are placed.",
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
