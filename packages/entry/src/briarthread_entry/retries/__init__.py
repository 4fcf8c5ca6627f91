"""Retries of failed attempts."""
