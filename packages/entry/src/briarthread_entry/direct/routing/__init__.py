"""Choice of the target of each attempt."""
