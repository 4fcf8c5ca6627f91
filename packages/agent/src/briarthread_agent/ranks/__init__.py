"""Maps of a group whose ranks take orders from their own agents only."""
