"""Running each attempt at most once."""
