"""Stand-ins for the external systems that briarthread uses; not part of a release."""
