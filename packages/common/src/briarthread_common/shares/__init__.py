"""Which agent holds which share of the idempotency keys."""
