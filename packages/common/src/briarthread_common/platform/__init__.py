"""Clients of the platform's table and instance list."""
