"""Faults that the fuzz tests inject."""

from dataclasses import dataclass

from hypothesis import strategies as st

from briarthread_standins.platform_app import PlatformMode


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill a process."""

    name: str


@dataclass(frozen=True, slots=True)
class Replace:
    """Kill a process and start a new one at once."""

    name: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop an agent gracefully."""

    name: str


@dataclass(frozen=True, slots=True)
class Freeze:
    """Delay all messages to and from a process until it is unfrozen."""

    name: str


@dataclass(frozen=True, slots=True)
class Cut:
    """Partition the network between two data centres, or one and the platform."""

    one: str
    other: str


@dataclass(frozen=True, slots=True)
class SwitchPlatform:
    """Change how the platform behaves."""

    mode: PlatformMode


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Lose the responses to calls of a path after the calls took effect."""

    path: str
    times: int


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Deliver calls of a path twice."""

    path: str
    times: int


@dataclass(frozen=True, slots=True)
class Unlist:
    """Remove a stopped agent from the platform's list of instances."""

    name: str


Fault = (
    Kill
    | Replace
    | Stop
    | Freeze
    | Cut
    | SwitchPlatform
    | LoseAnswers
    | Duplicate
    | Unlist
)

ATTEMPTS_PATH = "/agent/v1/attempts"
REVOKE_PATH = "/agent/v1/revoke"
HAND_OVER_PATH = "/agent/v1/shares/memory"
TRANSACTIONS_PATH = "/v1/table/transactions"


def faults(
    sites: tuple[str, ...], entries: tuple[str, ...], agents: tuple[str, ...]
) -> st.SearchStrategy[Fault]:
    """Return a Hypothesis strategy that generates faults of a deployment."""
    agent = st.sampled_from(agents)
    pairs = [(sites[0], sites[1]), *((site, "platform") for site in sites)]
    times = st.integers(1, 3)
    return st.one_of(
        st.builds(Kill, st.sampled_from(agents + entries)),
        st.builds(Replace, agent),
        st.builds(Stop, agent),
        st.builds(Freeze, agent),
        st.sampled_from([Cut(*pair) for pair in pairs]),
        st.builds(SwitchPlatform, st.sampled_from(list(PlatformMode))),
        st.builds(
            LoseAnswers,
            st.sampled_from(
                [ATTEMPTS_PATH, REVOKE_PATH, HAND_OVER_PATH, TRANSACTIONS_PATH]
            ),
            times,
        ),
        st.builds(
            Duplicate,
            st.sampled_from([ATTEMPTS_PATH, REVOKE_PATH, HAND_OVER_PATH]),
            times,
        ),
        st.builds(Unlist, agent),
    )
