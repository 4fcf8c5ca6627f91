"""Serving of requests by targets that have no agent before them."""
