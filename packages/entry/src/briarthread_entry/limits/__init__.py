"""Limits of client accounts."""
