"""Stateful fuzz tests."""
