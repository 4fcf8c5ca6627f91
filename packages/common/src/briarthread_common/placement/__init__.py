"""Where the experts of a group are placed, and when they move."""
