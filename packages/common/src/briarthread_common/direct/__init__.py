"""Routes to targets that entries call directly, without an agent in between."""
