"""Which target an attempt goes to."""
