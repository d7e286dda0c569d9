"""Requests and answers as the decisions of a gateway see them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sardineyard.core.ids import RequestId, TeamId

# Names and values of header fields, in order and as they were sent.
HeaderList = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Hold what a caller says about a request in its headers."""

    request_id: RequestId
    # Seconds that the caller waits; None where it does not say.
    patience_s: float | None = None
    team_key: str = ""
    # Last event of a stream that the caller already has; empty for a new stream.
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class ForwardOrders:
    """Hold what the gateway adds to a request that it passes on."""

    upstream_id: str
    time_left_s: float
    team: TeamId | None = None
    # 0 is served first.
    urgency: int | None = None
    # Event behind which a stream goes on.
    resume_after: str = ""


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Hold what an upstream says about its answer in the headers."""

    status: int
    # The upstream states that it did not run the request and never will.
    is_not_run: bool
    # The answer bears the mark without which it is not an upstream's.
    is_sealed: bool
    is_encoded: bool
    request_id: str = ""
    # Upstream that is at fault for a refusal; empty where none is named.
    faulty_upstream: str = ""

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


class MessageCodec(Protocol):
    """Translate the headers of requests and answers."""

    def read_request(self, headers: HeaderList) -> RequestFacts:
        """Return what a caller says about its request."""

    def forwarded_headers(
        self, headers: HeaderList, orders: ForwardOrders
    ) -> HeaderList:
        """Return the headers of the request for an upstream."""

    def read_answer(self, status: int, headers: HeaderList) -> AnswerFacts:
        """Return what an upstream says about its answer."""

    def refusal_headers(
        self, request_id: RequestId, retry_after_s: float | None
    ) -> HeaderList:
        """Return the headers of an answer that the gateway makes itself."""
