"""The closed list of error kinds."""

from enum import StrEnum


class ErrorKind(StrEnum):
    """Name every way in which a request can fail."""

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown-service"
    NOT_FOUND = "not-found"
    BODY_TOO_LARGE = "body-too-large"
    KEY_REUSED = "key-reused"
    ACCOUNT_RATE = "account-rate"
    ACCOUNT_CONCURRENCY = "account-concurrency"
    OVERLOADED = "overloaded"
    DEADLINE_UNMEETABLE = "deadline-unmeetable"
    NO_TARGET = "no-target"
    DEPENDENCY_DOWN = "dependency-down"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    WRONG_INCARNATION = "wrong-incarnation"
    NOT_HOLDER = "not-holder"
    RETRY_BUDGET = "retry-budget"
    TARGET_FAILED = "target-failed"
    OUTCOME_UNKNOWN = "outcome-unknown"
    QUARANTINED = "quarantined"
    HOLDER_UNREACHABLE = "holder-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    REVOKED = "revoked"
    VERSION_CONFLICT = "version-conflict"
    INTERNAL = "internal"
