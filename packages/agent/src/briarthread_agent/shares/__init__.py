"""The shares of idempotency keys that the agent holds."""
