"""The services text, an operator's configuration of services and accounts."""
