"""Requests and prompt segments that crash targets, and the blocklist."""
