"""Stand-ins for the outside systems of briarthread; never shipped."""
