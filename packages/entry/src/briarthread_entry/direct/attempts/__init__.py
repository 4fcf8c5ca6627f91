"""Attempts at targets: sending them, and recording how they ended."""
