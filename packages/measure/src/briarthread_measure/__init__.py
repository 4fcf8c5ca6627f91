"""Measurement commands of briarthread; never shipped."""
