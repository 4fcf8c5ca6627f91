"""What follows when targets are listed, removed, restarted or taken back."""

from collections.abc import Sequence

import anyio

from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.direct_target import DirectTarget
from briarthread_entry.direct.attempts.attempt_recorder import AttemptRecorder
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.limits.cold_targets import ColdTargets
from briarthread_entry.direct.limits.limit_tokens import LimitTokens
from briarthread_entry.direct.limits.target_backoffs import TargetBackoffs
from briarthread_entry.direct.limits.target_limits import TargetLimits
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_entry.direct.targets.leaving_targets import LeavingTargets
from briarthread_entry.direct.targets.target_registry import TargetRegistry


class TargetChanges:
    """
    Tell the components of an entry what has become of targets in the list.

    What is known of a target belongs to one run of it, so it is dropped when the target
    is removed or restarted. One that has been restarted, or whose data centre is in use
    again, is taken for cold.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        limits: TargetLimits,
        tokens: LimitTokens,
        backoffs: TargetBackoffs,
        leaving_targets: LeavingTargets,
        cold_targets: ColdTargets,
        crashes: CrashTracker,
        peer_reports: PeerReports,
        attempt_recorder: AttemptRecorder,
        metrics: Metrics,
    ) -> None:
        self.registry = registry
        self.limits = limits
        self.tokens = tokens
        self.backoffs = backoffs
        self.leaving_targets = leaving_targets
        self.cold_targets = cold_targets
        self.crashes = crashes
        self.peer_reports = peer_reports
        self.attempt_recorder = attempt_recorder
        self.metrics = metrics

    def follow(self) -> None:
        """Be told of all changes in the list from now on."""
        self.registry.on_listed = self.note_listed
        self.registry.on_removed = self.discard_removed
        self.registry.on_restarted = self.discard_former_runs
        self.registry.on_assumed_cold = self.note_taken_back

    def note_listed(self, target: DirectTarget) -> None:
        """Record what the row of a target says of it."""
        self.cold_targets.note_row(target, anyio.current_time())

    def discard_removed(self) -> None:
        """Drop what is known of removed targets, such as their limits."""
        states = self.registry.states
        self.attempt_recorder.note_gone_targets()
        self.limits.retain(states)
        self.tokens.retain(states)
        self.leaving_targets.retain(states)
        self.cold_targets.retain(states)

    def discard_former_runs(self, names: Sequence[str]) -> None:
        """Drop what is known of the former runs of restarted targets."""
        self.metrics.target_restarts.inc(len(names))
        self.limits.discard(names)
        self.tokens.discard(names)
        self.backoffs.discard(names)
        self.leaving_targets.discard(names)
        self.crashes.discard_running(names)
        self.peer_reports.discard_former_runs(names)
        self.attempt_recorder.note_gone_targets()
        self._assume_cold(names, "restart")

    def note_taken_back(self, names: Sequence[str]) -> None:
        """Record the targets of a data centre that is no longer evacuated."""
        self._assume_cold(names, "evacuation")

    def _assume_cold(self, names: Sequence[str], source: str) -> None:
        """Assume that targets are cold from now on."""
        now = anyio.current_time()
        for name in names:
            target = self.registry.find(name)
            if target is not None:
                self.cold_targets.assume_cold(target, now, source)
