"""Crowds of clients before real processes; run one at a time, after the others."""
