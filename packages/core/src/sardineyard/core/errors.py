"""The closed list of error kinds and the response to each of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@unique
class Outcome(Enum):
    """What is known about the execution of a request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@unique
class ErrorKind(Enum):
    """Every reason for which a request can fail."""

    BAD_REQUEST = "bad_request"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_PRIORITY = "unknown_priority"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_REQUIRED = "key_required"
    KEY_INVALID = "key_invalid"
    KEY_CONFLICT = "key_conflict"
    KEY_UNCERTAIN = "key_uncertain"
    KEY_FORGOTTEN = "key_forgotten"
    KEY_NOT_ACCEPTED = "key_not_accepted"
    ANSWER_EVICTED = "answer_evicted"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    TOO_MANY_REQUESTS = "too_many_requests"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    OWNER_UNAVAILABLE = "owner_unavailable"
    OWNER_UNCERTAIN = "owner_uncertain"
    NOT_OWNER = "not_owner"
    LEASE_EXPIRED = "lease_expired"
    STALE_INCARNATION = "stale_incarnation"
    QUARANTINED = "quarantined"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_PROTOCOL = "upstream_protocol"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Response to the caller for one error kind."""

    status: HTTPStatus
    outcome: Outcome
    title: str
    retry_after_s: int | None = None


def _error_response(
    status: HTTPStatus, outcome: Outcome, title: str, retry_after_s: int | None = None
) -> ErrorResponse:
    return ErrorResponse(status, outcome, title, retry_after_s)


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ERROR_RESPONSES: Mapping[ErrorKind, ErrorResponse] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: _error_response(
            HTTPStatus.BAD_REQUEST, _NOT_RUN, "the request is malformed"
        ),
        ErrorKind.HEAD_TOO_LARGE: _error_response(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            _NOT_RUN,
            "the request head is too large",
        ),
        ErrorKind.BODY_TOO_LARGE: _error_response(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            _NOT_RUN,
            "the request body is too large",
        ),
        ErrorKind.REQUEST_TIMEOUT: _error_response(
            HTTPStatus.REQUEST_TIMEOUT, _NOT_RUN, "the request arrived too slowly"
        ),
        ErrorKind.UNAUTHENTICATED: _error_response(
            HTTPStatus.UNAUTHORIZED, _NOT_RUN, "the bearer key is missing or unknown"
        ),
        ErrorKind.UNKNOWN_PRIORITY: _error_response(
            HTTPStatus.BAD_REQUEST, _NOT_RUN, "the priority is not configured"
        ),
        ErrorKind.NOT_FOUND: _error_response(
            HTTPStatus.NOT_FOUND, _NOT_RUN, "no such resource"
        ),
        ErrorKind.METHOD_NOT_ALLOWED: _error_response(
            HTTPStatus.METHOD_NOT_ALLOWED, _NOT_RUN, "the method is not allowed here"
        ),
        ErrorKind.KEY_REQUIRED: _error_response(
            HTTPStatus.BAD_REQUEST, _NOT_RUN, "this call needs an Idempotency-Key"
        ),
        ErrorKind.KEY_INVALID: _error_response(
            HTTPStatus.BAD_REQUEST, _NOT_RUN, "the Idempotency-Key is not acceptable"
        ),
        ErrorKind.KEY_CONFLICT: _error_response(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            _NOT_RUN,
            "the Idempotency-Key was used for another request",
        ),
        ErrorKind.KEY_UNCERTAIN: _error_response(
            HTTPStatus.CONFLICT,
            _UNKNOWN,
            "an earlier process may have run this call; it is not run again",
        ),
        ErrorKind.KEY_FORGOTTEN: _error_response(
            HTTPStatus.CONFLICT,
            _UNKNOWN,
            "the owner may have run this Idempotency-Key before it lost its memory",
        ),
        # Replaces KEY_FORGOTTEN for the first attempt with a key: it cannot have run.
        ErrorKind.KEY_NOT_ACCEPTED: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            "the owner accepts no Idempotency-Key of this age; use a new one",
            1,
        ),
        ErrorKind.ANSWER_EVICTED: _error_response(
            HTTPStatus.GONE, Outcome.RAN, "the call ran; its answer is not kept"
        ),
        ErrorKind.NOT_READY: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, "no configuration in force yet", 1
        ),
        ErrorKind.DRAINING: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, "this process is stopping", 1
        ),
        ErrorKind.TOO_MANY_REQUESTS: _error_response(
            HTTPStatus.TOO_MANY_REQUESTS, _NOT_RUN, "the team is over its limit", 1
        ),
        ErrorKind.OVERLOADED: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, "the upstreams are overloaded", 2
        ),
        ErrorKind.DEADLINE_UNREACHABLE: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            "the request cannot finish before its deadline",
            1,
        ),
        ErrorKind.DEADLINE_EXCEEDED: _error_response(
            HTTPStatus.GATEWAY_TIMEOUT, _UNKNOWN, "the deadline passed"
        ),
        ErrorKind.NO_UPSTREAM: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, "no upstream is available", 1
        ),
        ErrorKind.OWNER_UNAVAILABLE: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            "the owner of this Idempotency-Key is not reachable",
            1,
        ),
        # Unlike OWNER_UNAVAILABLE, an earlier attempt with the key may have reached the
        # owner, so the outcome is unknown.
        ErrorKind.OWNER_UNCERTAIN: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _UNKNOWN,
            "the owner of this Idempotency-Key could not be asked",
            1,
        ),
        ErrorKind.NOT_OWNER: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _UNKNOWN,
            "another upstream owns this Idempotency-Key",
            1,
        ),
        ErrorKind.LEASE_EXPIRED: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            "the agent does not hold the lease of its address",
            1,
        ),
        ErrorKind.STALE_INCARNATION: _error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            "the request names another incarnation of the agent",
            1,
        ),
        ErrorKind.QUARANTINED: _error_response(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            _NOT_RUN,
            "this request crashed several upstreams and is refused for a time",
            600,
        ),
        ErrorKind.UPSTREAM_LOST: _error_response(
            HTTPStatus.BAD_GATEWAY, _UNKNOWN, "the upstream was lost during the call"
        ),
        ErrorKind.UPSTREAM_PROTOCOL: _error_response(
            HTTPStatus.BAD_GATEWAY, _UNKNOWN, "the upstream sent a malformed answer"
        ),
        ErrorKind.CANCELLED: _error_response(
            HTTPStatus.BAD_GATEWAY, _UNKNOWN, "the call was cancelled"
        ),
        ErrorKind.INTERNAL: _error_response(
            HTTPStatus.INTERNAL_SERVER_ERROR, _UNKNOWN, "internal error"
        ),
    }
)


@dataclass(frozen=True, slots=True)
class RequestError:
    """Failure of one request: its kind and a detail for the caller."""

    kind: ErrorKind
    detail: str = ""

    @property
    def response(self) -> ErrorResponse:
        """Return the response for this kind of error."""
        return ERROR_RESPONSES[self.kind]

    @property
    def outcome(self) -> Outcome:
        """Return what is known about the execution of the request."""
        return self.response.outcome
