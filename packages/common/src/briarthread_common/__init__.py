"""Parts that the entry and the agent of briarthread share."""
