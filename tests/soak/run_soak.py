"""
Disturb a deployment of real processes and check what callers and targets saw.

Usage:
  run_soak [--seeds=NUMBER] [--first=SEED] [--seconds=SECONDS] [--callers=NUMBER]
           [--keep=FOLDER] [--refusals]

Options:
  --seeds=NUMBER     Seeds to play, one after the other [default: 1].
  --first=SEED       The first seed [default: 1].
  --seconds=SECONDS  Time in which faults begin [default: 10].
  --callers=NUMBER   Concurrent callers [default: 24].
  --keep=FOLDER      Keep the logs of failed seeds there.
  --refusals         Let all targets refuse while all entries are killed several times,
                     in addition to the drawn faults.

It prints a line per seed and exits with 1 if a promise was broken. A short run with a
fixed seed is part of CI; longer ones are started by hand.
"""

import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import anyio
from docopt import docopt

from soak.soak_callers import CallerRecord, SoakCaller
from soak.soak_checks import MIN_RECOVERED_SHARE, SoakChecker, TargetLog
from soak.soak_deployment import RETRY_ALLOWANCE, SoakDeployment
from soak.soak_faults import (
    Disturbance,
    FaultInjector,
    draw_crowd,
    draw_endless_bytes,
    draw_evacuation,
    draw_faults,
    draw_foreign_rows,
    draw_refusals_with_kills,
)
from soak.soak_monitor import BusyMonitor

RECOVERY_SECONDS = 4.0
"""Time after the last fault until service must be back."""
CALM_SECONDS = 3.0
"""Time without faults in which the recovery is measured."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What happened in the run of a seed."""

    records: list[CallerRecord]
    disturbances: list[Disturbance]
    violations: list[str]
    recovered_share: float
    busy_spans: int

    @property
    def passed(self) -> bool:
        """Return whether every promise was kept and service came back."""
        return not self.violations and self.recovered_share >= MIN_RECOVERED_SHARE

    def summary(self) -> str:
        """Return a line with the counts of faults and responses."""
        kinds = Counter(str(d.kind) for d in self.disturbances)
        statuses = Counter(str(r.status) for r in self.records if r.left_at is None)
        left = sum(r.left_at is not None for r in self.records)
        return (
            f"{len(self.records)} requests, {left} callers left, statuses "
            f"{dict(sorted(statuses.items()))}, recovered {self.recovered_share:.2f}, "
            f"machine busy {self.busy_spans} times, "
            f"faults {dict(sorted(kinds.items()))}"
        )


async def play(
    seed: int, seconds: float, callers: int, folder: Path, *, refusals: bool = False
) -> SoakResult:
    """
    Run a seed and return what happened.

    With ``refusals`` all targets refuse while all entries are killed several times.
    """
    rng = random.Random(seed)
    async with anyio.create_task_group() as tasks:
        deployment = SoakDeployment(folder, tasks)
        try:
            await deployment.start()
            result = await _disturb(deployment, rng, seed, seconds, callers, refusals)
        finally:
            deployment.stop()
            tasks.cancel_scope.cancel()
    return result


async def _disturb(
    deployment: SoakDeployment,
    rng: random.Random,
    seed: int,
    seconds: float,
    callers: int,
    refusals: bool,
) -> SoakResult:
    faults = draw_faults(
        rng, list(deployment.entries), list(deployment.targets), seconds
    )
    faults.append(draw_evacuation(rng, seconds))
    if refusals:
        faults += draw_refusals_with_kills(rng, list(deployment.entries), seconds)
    faults += draw_foreign_rows(rng, seconds)
    faults.append(draw_endless_bytes(rng, seconds))
    faults.append(draw_crowd(rng, seconds))
    injector = FaultInjector(deployment)
    soak_callers = [
        SoakCaller(f"c{number}", deployment.callers_addresses, seed)
        for number in range(callers)
    ]
    monitor = BusyMonitor(deployment.process_ids)
    async with anyio.create_task_group() as monitoring:
        monitoring.start_soon(monitor.run)
        async with anyio.create_task_group() as tasks:
            for caller in soak_callers:
                tasks.start_soon(caller.run)
            await injector.run(faults)
            await anyio.sleep(RECOVERY_SECONDS)
            calm_since = time.monotonic()
            await anyio.sleep(CALM_SECONDS)
            for caller in soak_callers:
                caller.stopping = True
        monitoring.cancel_scope.cancel()
    records = [record for caller in soak_callers for record in caller.records]
    return _check(deployment, injector, monitor, records, calm_since)


def _check(
    deployment: SoakDeployment,
    injector: FaultInjector,
    monitor: BusyMonitor,
    records: list[CallerRecord],
    calm_since: float,
) -> SoakResult:
    log = TargetLog()
    for name, target in deployment.targets.items():
        log.read(name, target.process.log)
    data_centres = {
        name: target.data_centre for name, target in deployment.targets.items()
    }
    checker = SoakChecker(
        log, injector.disturbances, monitor, data_centres, RETRY_ALLOWANCE
    )
    return SoakResult(
        records,
        injector.disturbances,
        checker.violations(records),
        checker.recovered_share(records, calm_since),
        len(monitor.spans),
    )


def run_seed(
    seed: int, seconds: float, callers: int, keep: Path | None, refusals: bool
) -> bool:
    """Play a seed, print its result and return whether it passed."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        result = anyio.run(
            partial(play, refusals=refusals), seed, seconds, callers, folder
        )
        verdict = "ok" if result.passed else "FAILED"
        print(f"{verdict}: seed {seed}: {result.summary()}", flush=True)
        for violation in result.violations:
            print(f"  {violation}", flush=True)
        if keep is not None and not result.passed:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    return result.passed


def main() -> int:
    """Run all seeds and return the exit code."""
    arguments = docopt(__doc__)
    first = int(arguments["--first"])
    keep = Path(arguments["--keep"]) if arguments["--keep"] else None
    results = [
        run_seed(
            seed,
            float(arguments["--seconds"]),
            int(arguments["--callers"]),
            keep,
            arguments["--refusals"],
        )
        for seed in range(first, first + int(arguments["--seeds"]))
    ]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
