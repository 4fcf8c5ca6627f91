"""Shares of idempotency keys that the agent holds."""
