"""Load reports of the agent."""
