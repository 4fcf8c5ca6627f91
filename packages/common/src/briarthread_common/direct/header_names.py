"""Header names that callers and direct targets use."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """
    Map the meaning of each header to its name; all names are lower case.

    ``time_left`` is in milliseconds. ``token_counts`` holds the number of tokens of the
    prompt and the maximum number of the answer, ``prompt_segments`` the segments of the
    prompt in order, as ID:TOKENS separated by commas, the last one the request's own.
    ``expected_target`` on a request is the name of the target that it is meant for,
    ``target_name`` on a health response that of the target that answers.
    ``not_run`` on a response says that the target did not run the request.
    ``target_stamp`` is present on every response that a target itself produced.
    ``rate_limit`` is the number of requests per second that a target accepts from all
    callers together while it limits its load. ``leaving`` announces that the target is
    shutting down. ``cold_time`` is the number of milliseconds for which the target is
    still cold. ``urgency`` carries the priority of a request to its target, from 0
    (first) to 9.
    """

    request_id: str
    time_left: str
    account_key: str
    account_name: str
    expected_target: str
    target_name: str
    target_stamp: str
    not_run: str
    faulty_target: str
    rate_limit: str
    leaving: str
    cold_time: str
    token_counts: str
    prompt_segments: str
    resume_from: str
    urgency: str
