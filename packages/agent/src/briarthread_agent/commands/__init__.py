"""The command of the agent."""
