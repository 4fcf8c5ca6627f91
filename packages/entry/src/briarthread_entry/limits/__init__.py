"""What each client account may use."""
