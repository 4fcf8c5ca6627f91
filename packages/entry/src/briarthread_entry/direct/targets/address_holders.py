"""
Decision which of the targets listed at an address answers there.

The list may name several targets at one address: after a restart the former one is
listed for some seconds, and rows of other writers may name any address. A row is no
proof. Only a target itself can show that it answers, and only its own absence, as
shown by a check, or the answers of another target end its use.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from briarthread_entry.direct.targets.standing import Standing
from briarthread_entry.direct.targets.target_presence import NEVER
from briarthread_entry.direct.targets.target_state import DirectTargetState

ADDRESS_REUSE_SECONDS = 1.0
"""Lower bound in seconds of the time after which the address of a target that has ended
is used again. A call that began this long before another row was listed, and that the
target answered, shows that the row is wrong."""
DOUBT_SECONDS = 1.0
"""Time in seconds for which a row or a refusal without proof keeps a target from
requests that others can take. A check takes milliseconds unless the target is
overloaded."""
PROOF_SECONDS = 5.0
"""Time in seconds for which a target needs proof if another one was listed at its
address before. One that has ended is removed from the list within this time."""
CACHE_SECONDS = 0.02
"""Time in seconds for which standings are kept. Hundreds of rows may share an
address, and each request asks for the standing of all targets of its service."""


@dataclass(frozen=True, slots=True)
class _Rivals:
    """The targets at one address that decide on the standing of all others there."""

    strongest: DirectTargetState
    earliest: DirectTargetState
    latest: DirectTargetState

    @classmethod
    def among(cls, states: list[DirectTargetState]) -> "_Rivals | None":
        present = [state for state in states if not state.presence.is_absent]
        if len(present) < 2:
            return None
        listed = sorted(present, key=lambda state: state.presence.listed_at)
        return cls(
            max(present, key=lambda state: state.presence.answered_at),
            next((s for s in listed if not s.presence.is_refused), listed[0]),
            listed[-1],
        )


class AddressHolders:
    """
    Tell the standing of each target from what is known of all at its address.

    ``shared`` holds the targets at each address that has several, ``refused`` those in
    whose name calls were refused.

    >>> from briarthread_common.direct.direct_target import DirectTarget
    >>> first, second = (
    ...     DirectTargetState(DirectTarget(name, "s", "10.0.0.1:80", "y", 6, False))
    ...     for name in ("t-1", "t-2")
    ... )
    >>> second.presence.listed_at = 8.0
    >>> holders = AddressHolders()
    >>> holders.update([first, second])
    >>> str(holders.standing(first, now=8.1)), str(holders.standing(second, now=8.1))
    ('doubted', 'excluded')
    >>> first.presence.note_answer(sent_at=8.2)
    >>> str(holders.standing(first, now=8.3)), str(holders.standing(second, now=8.3))
    ('trusted', 'excluded')
    >>> first.presence.note_absence(sent_at=9.0)
    >>> holders.note_evidence([first])
    >>> str(holders.standing(first, now=9.1)), str(holders.standing(second, now=9.1))
    ('excluded', 'trusted')
    """

    def __init__(self) -> None:
        self.shared: dict[str, list[DirectTargetState]] = {}
        self.refused: list[DirectTargetState] = []
        self.cached: dict[str, Standing] = {}
        self.cached_until = NEVER

    def update(self, states: Iterable[DirectTargetState]) -> None:
        """Apply a new version of the list."""
        by_address: dict[str, list[DirectTargetState]] = {}
        for state in states:
            by_address.setdefault(state.target.address, []).append(state)
        self.shared = {a: group for a, group in by_address.items() if len(group) > 1}
        self.refused = [
            state
            for state in self.refused
            if state in by_address.get(_address(state), ())
        ]
        self.cached_until = NEVER

    def note_evidence(self, states: Iterable[DirectTargetState]) -> None:
        """Derive the standings anew, since what is known of targets has changed."""
        self.refused += [
            state
            for state in states
            if state.presence.is_refused and state not in self.refused
        ]
        self.cached_until = NEVER

    def standing(self, state: DirectTargetState, now: float) -> Standing:
        """Return a target's standing."""
        return self.untrusted(now).get(state.target.name, Standing.TRUSTED)

    def untrusted(self, now: float) -> dict[str, Standing]:
        """Return the standing of each target that is not trusted, by its name."""
        if now >= self.cached_until:
            self.cached = self._find_untrusted(now)
            self.cached_until = now + CACHE_SECONDS
        return self.cached

    def unsettled(self) -> dict[str, list[DirectTargetState]]:
        """Return the addresses at which a check is needed, with their targets."""
        found = {a: group for a, group in self.shared.items() if not _settled(group)}
        for state in self.refused:
            if state.presence.is_refused and _address(state) not in self.shared:
                found[_address(state)] = [state]
        return found

    def _find_untrusted(self, now: float) -> dict[str, Standing]:
        """Return the standing of all targets that are not trusted."""
        found: dict[str, Standing] = {}
        self.refused = [state for state in self.refused if state.presence.is_refused]
        for state in self.refused:
            if state.presence.is_absent:
                found[state.target.name] = Standing.EXCLUDED
            elif now < state.presence.refused_at + DOUBT_SECONDS:
                found[state.target.name] = Standing.DOUBTED
        for group in self.shared.values():
            rivals = _Rivals.among(group)
            for state in group if rivals is not None else ():
                if _is_excluded(state, rivals, now):
                    found[state.target.name] = Standing.EXCLUDED
                elif _is_doubted(state, rivals, now):
                    found.setdefault(state.target.name, Standing.DOUBTED)
        return found


def _address(state: DirectTargetState) -> str:
    return state.target.address


def _disproves(state: DirectTargetState, other: DirectTargetState) -> bool:
    """Return whether a target's answers show that another one's row is wrong."""
    answered_at = state.presence.answered_at
    return (
        answered_at > other.presence.answered_at
        and answered_at >= other.presence.listed_at - ADDRESS_REUSE_SECONDS
    )


def _settled(states: list[DirectTargetState]) -> bool:
    """Return whether it is known which target answers at an address."""
    holder = max(states, key=lambda state: state.presence.answered_at)
    present = [state for state in states if not state.presence.is_absent]
    if len(present) == 1 and not present[0].presence.is_refused:
        return True
    return not holder.presence.is_refused and all(
        other is holder or _disproves(holder, other) for other in present
    )


def _is_excluded(state: DirectTargetState, rivals: _Rivals, now: float) -> bool:
    """Return whether a target gets no requests because of another one."""
    presence, earliest = state.presence, rivals.earliest
    if _disproves(rivals.strongest, state):
        return True
    if (
        presence.answered_at > NEVER
        or earliest.presence.is_refused
        or earliest.presence.listed_at >= presence.listed_at
    ):
        return False
    # Requests to the earlier target of the same service show which of them answers.
    is_tested = state.target.service == earliest.target.service and earliest.is_usable()
    return is_tested or now < presence.listed_at + PROOF_SECONDS


def _is_doubted(state: DirectTargetState, rivals: _Rivals, now: float) -> bool:
    """Return whether another row is a reason to prefer other targets."""
    latest = rivals.latest
    if latest is state:
        latest = rivals.earliest
    if latest is state or _disproves(state, latest):
        return False
    return now < latest.presence.listed_at + DOUBT_SECONDS
