"""Placement of the experts of a group on its ranks."""
