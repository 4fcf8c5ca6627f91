"""Request handling of entries that send to targets directly, without an agent."""
