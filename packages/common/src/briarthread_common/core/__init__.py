"""Errors, events, logging, metrics and check messages."""
