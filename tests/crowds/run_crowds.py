"""
Print what an entry and an agent undergo before crowds of clients that do not behave.

Usage:
  run_crowds [--size=NUMBER] [--seconds=SECONDS] [KIND ...]

Options:
  --size=NUMBER      Clients at each of the four addresses [default: 60].
  --seconds=SECONDS  Time for which they press [default: 4].

Without KIND all kinds are played. Each is played fast, byte by byte and silent midway,
one after the other.
"""

import tempfile
from pathlib import Path

from docopt import docopt

from crowds.client_bytes import ClientKind
from crowds.crowd import Behaviour
from crowds.crowd_deployment import play_crowd

MOST_BYTES = 2048 * 1024
MIDWAY_BYTES = 8 * 1024


def behaviours(kind: ClientKind) -> list[Behaviour]:
    """Return the paces of a kind."""
    if kind is ClientKind.NOTHING:
        return [Behaviour(kind, 0)]
    return [
        Behaviour(kind, MOST_BYTES),
        Behaviour(kind, 0, slow=True),
        Behaviour(kind, MIDWAY_BYTES),
    ]


def main() -> None:
    """Run the command."""
    arguments = docopt(__doc__)
    kinds = [ClientKind(word) for word in arguments["KIND"]] or list(ClientKind)
    size, seconds = int(arguments["--size"]), float(arguments["--seconds"])
    for behaviour in (found for kind in kinds for found in behaviours(kind)):
        with tempfile.TemporaryDirectory() as folder:
            figures = play_crowd(Path(folder), behaviour, size, seconds)
        print(f"{behaviour}: {figures.describe()}", flush=True)


if __name__ == "__main__":
    main()
