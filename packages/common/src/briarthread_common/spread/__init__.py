"""Replication of text, instances and shares to every process."""
