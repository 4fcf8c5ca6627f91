"""Code shared by briarthread's entry and agent."""
