"""Assignment of the shares of the idempotency keys to agents."""
