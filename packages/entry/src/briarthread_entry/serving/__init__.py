"""Callers' requests from arrival to answer."""
