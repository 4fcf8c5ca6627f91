"""Versioned maps that spread from the platform to all processes."""
