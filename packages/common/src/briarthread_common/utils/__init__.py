"""Small helpers without state of their own."""
