"""Targets that an entry knows: their state, and whether they answer."""
