"""Execution of attempts, each at most once."""
