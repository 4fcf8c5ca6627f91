"""Responses of targets: reading them within bounds and relaying them."""
