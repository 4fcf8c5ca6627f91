"""Settings: options, their conversion and their checks."""
