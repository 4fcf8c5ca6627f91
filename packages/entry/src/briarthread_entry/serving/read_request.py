"""Reading and validation of a caller's request."""

import hmac
import random
import re

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.http.call import Call
from briarthread_common.http.forwarded_headers import FORWARDED_REQUEST_HEADERS
from briarthread_common.text.account import Account
from briarthread_common.text.service import Service
from briarthread_common.text.services_text import ServicesText
from briarthread_common.utils.hashing import key_digest, random_id
from briarthread_entry.serving.caller_request import CallerRequest

SERVICES_PREFIX = "/v1/services/"
TIMEOUT_HEADER = "briarthread-timeout"
KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 200
KEY_PATTERN = re.compile(r"[\x21-\x7e]+")
SAFE_METHODS = frozenset({"GET", "HEAD"})
DUMMY_DIGEST = "0" * 64
"""Compared with the digest of an unknown key, so that each key is compared once."""


async def read_request(
    call: Call, text: ServicesText, now: float, rng: random.Random
) -> CallerRequest:
    """
    Return the validated request with its complete body.

    The account key is checked first, so that a caller without a valid one learns
    nothing about the services.
    """
    headers = call.headers
    account = find_account(text, headers.get("authorization", ""))
    service, rest = _find_service(text, account, call.path)
    timeout = _timeout(service, headers.get(TIMEOUT_HEADER))
    raw_key = headers.get(KEY_HEADER)
    key = _check_key(raw_key) if raw_key is not None else random_id(rng)
    body = await call.read_body(service.body_bytes)
    query = f"?{call.query}" if call.query else ""
    return CallerRequest(
        id=random_id(rng),
        account=account,
        service=service,
        method=call.method,
        path=f"/{rest}{query}",
        headers=tuple(
            (k, v) for k, v in headers.items() if k in FORWARDED_REQUEST_HEADERS
        ),
        body=body,
        key=f"{account.name}/{key}",
        keyed=raw_key is not None,
        idempotent=service.idempotent or call.method in SAFE_METHODS,
        deadline=now + timeout,
    )


def find_account(text: ServicesText, authorization: str) -> Account:
    """
    Return the account of a bearer key; raise RequestError for an invalid one.

    Only digests of keys are looked up and compared, and the comparison takes constant
    time, so that the response time reveals nothing about a key.
    """
    scheme, _, key = authorization.partition(" ")
    digest = key_digest(key.strip())
    account = text.accounts_by_key.get(digest)
    known = digest if account is not None else DUMMY_DIGEST
    matches = hmac.compare_digest(digest, known)
    if account is None or not matches or scheme.lower() != "bearer":
        raise RequestError(ErrorKind.UNAUTHORIZED, "send a valid bearer key")
    return account


def _find_service(
    text: ServicesText, account: Account, path: str
) -> tuple[Service, str]:
    name, _, rest = path.removeprefix(SERVICES_PREFIX).partition("/")
    service = text.services.get(name)
    if service is None:
        raise RequestError(ErrorKind.UNKNOWN_SERVICE, f"no service {name!r}")
    if not account.may_call(name):
        raise RequestError(ErrorKind.FORBIDDEN, f"account may not call {name}")
    return service, rest


def _timeout(service: Service, raw: str | None) -> float:
    if raw is None:
        return service.deadline
    try:
        seconds = float(raw)
    except ValueError as error:
        raise _bad_timeout(raw) from error
    if not 0 < seconds <= service.max_deadline:
        raise _bad_timeout(raw)
    return seconds


def _bad_timeout(raw: str) -> RequestError:
    return RequestError(
        ErrorKind.BAD_REQUEST, f"{TIMEOUT_HEADER} {raw!r} is not a time in seconds"
    )


def _check_key(raw: str) -> str:
    if len(raw) > MAX_KEY_LENGTH or not KEY_PATTERN.fullmatch(raw):
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"{KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} printable characters",
        )
    return raw
