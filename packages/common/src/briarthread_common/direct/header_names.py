"""The header names that callers and direct targets use."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """
    Name each header by what it says; all names are lower case.

    ``time_left`` is in milliseconds. ``token_counts`` holds the tokens of the prompt
    and the most of the answer. ``not_run`` on an answer says that the target
    did not run the request; ``target_stamp`` is there on every answer that a
    target made. ``rate_limit`` is the number of requests per second that a target
    accepts from all callers together while it limits its load. ``leaving``
    announces that the target is shutting down.
    """

    request_id: str
    time_left: str
    account_key: str
    account_name: str
    expected_target: str
    target_stamp: str
    not_run: str
    faulty_target: str
    rate_limit: str
    leaving: str
    token_counts: str
    resume_from: str
