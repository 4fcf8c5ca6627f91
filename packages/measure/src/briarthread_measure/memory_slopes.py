"""Print the bytes per item of each kind of state, with the residual of the fit."""

import subprocess
import sys

from briarthread_measure.line_fit import fit_line

SIZES = {
    "accounts": (1000, 2000, 4000, 6000, 8000),
    "instances": (1000, 2000, 4000, 6000, 8000),
    "services": (50, 100, 200, 400),
    "shares": (768, 1536, 2976, 5952),
    "keys": (2000, 4000, 8000, 16000),
    "buckets": (2000, 3000, 4000, 4096),
    "layers": (50, 100, 200, 400),
}


def measure(kind: str, count: int) -> int:
    """Return the memory growth of a fresh process in bytes."""
    command = [sys.executable, "-m", "briarthread_measure.memory_probe"]
    completed = subprocess.run(
        [*command, kind, str(count)], check=True, capture_output=True, text=True
    )
    return int(completed.stdout.split()[-1])


def main() -> None:
    """Print a line for each kind of state."""
    print(f"{'kind':10} {'bytes an item':>14} {'fixed bytes':>12} {'residual':>9}")
    for kind, sizes in SIZES.items():
        fit = fit_line(sizes, [measure(kind, size) for size in sizes])
        print(f"{kind:10} {fit.slope:14.0f} {fit.intercept:12.0f} {fit.residual:9.3f}")


if __name__ == "__main__":
    main()
