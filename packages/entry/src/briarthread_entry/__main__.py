"""Run the ``briarthread`` command as a module."""

import sys

from briarthread_common.conf.early_signals import EARLY_SIGNALS

if __name__ == "__main__":
    if sys.argv[1:2] == ["direct"]:
        EARLY_SIGNALS.install()
    # The other imports take some tenths of a second.
    from briarthread_entry.main import main

    main()
