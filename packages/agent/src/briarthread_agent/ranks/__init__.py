"""Maps of groups whose ranks take orders only from their own agents."""
