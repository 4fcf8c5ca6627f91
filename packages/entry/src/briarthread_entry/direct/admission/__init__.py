"""Admission: which requests to a group start, wait or are refused."""
