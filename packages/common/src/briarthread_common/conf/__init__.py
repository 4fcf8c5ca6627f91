"""Settings: option specifications, conversion and checks."""
