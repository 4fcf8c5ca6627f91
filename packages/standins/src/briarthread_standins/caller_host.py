"""Host of a caller, as a stand-in sees it."""

from briarthread_common.http.call import Call


def caller_host(call: Call) -> str:
    """Return the caller's host, empty if it had reset its connection already."""
    client = call.scope["client"]
    return client[0] if client else ""
