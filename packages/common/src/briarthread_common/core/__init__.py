"""Error kinds, events, logs and checks that every part uses."""
