"""Versioned maps that are replicated from the platform to all processes."""
