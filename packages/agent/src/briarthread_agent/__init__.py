"""The briarthread agent: one process for each target."""
