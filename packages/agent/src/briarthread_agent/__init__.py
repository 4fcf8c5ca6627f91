"""The agent of briarthread: one process before each target."""
