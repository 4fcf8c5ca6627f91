"""The commands of the ``briarthread`` binary."""
