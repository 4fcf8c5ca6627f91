"""What the agent says of its load."""
