"""Planning and activation of the expert maps of groups."""
