"""Running reports that entries exchange."""
