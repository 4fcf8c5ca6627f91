"""Stateful fuzzing."""
