"""The faults that the fuzz brings about."""

from dataclasses import dataclass

from hypothesis import strategies as st

from briarthread_standins.platform_app import PlatformMode


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill a process."""

    name: str


@dataclass(frozen=True, slots=True)
class Replace:
    """Kill a process and start it anew at once."""

    name: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop an agent gracefully."""

    name: str


@dataclass(frozen=True, slots=True)
class Freeze:
    """Hold back all messages to and from a process."""

    name: str


@dataclass(frozen=True, slots=True)
class Cut:
    """Cut two sites off from each other."""

    one: str
    other: str


@dataclass(frozen=True, slots=True)
class SwitchPlatform:
    """Change how the platform behaves."""

    mode: PlatformMode


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Lose answers on a path after their calls took effect."""

    path: str
    times: int


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Let calls on a path arrive twice."""

    path: str
    times: int


@dataclass(frozen=True, slots=True)
class Unlist:
    """Take a dead agent off the platform's list."""

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
    """Return a strategy of faults for a deployment."""
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
