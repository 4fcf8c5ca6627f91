"""Routes to targets that have no agent before them."""
