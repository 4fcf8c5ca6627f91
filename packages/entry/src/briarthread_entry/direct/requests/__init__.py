"""Requests of callers to direct targets, and how they are read."""
