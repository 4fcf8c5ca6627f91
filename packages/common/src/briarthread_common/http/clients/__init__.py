"""Bounds on what clients may make a process hold or do."""
