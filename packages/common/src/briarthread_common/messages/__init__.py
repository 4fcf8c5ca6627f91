"""Typed messages between processes."""
