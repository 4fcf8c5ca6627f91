"""Run the ``briarthread`` command as a module."""

from briarthread_entry.main import main

if __name__ == "__main__":
    main()
