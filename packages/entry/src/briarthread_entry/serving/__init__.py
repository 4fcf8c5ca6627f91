"""Handling of callers' requests that are sent to agents."""
