"""Memory that requests and responses hold in an entry."""
