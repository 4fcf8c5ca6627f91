"""Admission control of attempts to the target."""
