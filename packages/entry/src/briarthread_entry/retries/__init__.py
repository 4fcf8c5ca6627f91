"""When an attempt is sent again."""
