"""Retries: the shared budget, callers that retry, and the final error."""
