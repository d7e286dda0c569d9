"""Request and response metadata, independent of the header format on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sardineyard.core.ids import PromptPartId, RequestId, TeamId

# Names and values of header fields, in the order and spelling in which they were sent.
HeaderList = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata that a caller sends in the headers of a request."""

    request_id: RequestId
    # Time until the caller gives up, in seconds; None if not stated.
    client_timeout_s: float | None = None
    team_key: str = ""
    # Id of the last event that the caller received; empty for a new stream.
    last_event_id: str = ""
    # Parts of the prompt that other requests may have too, in order. The last part of a
    # prompt belongs to the request or its session and is left out.
    shared_prompt_parts: tuple[PromptPartId, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardedMetadata:
    """Metadata that the gateway adds to a request that it forwards."""

    upstream_id: str
    time_left_s: float
    team: TeamId | None = None
    # Priority class for the upstream; 0 is the most urgent.
    urgency: int | None = None
    # Id of the event after which the upstream resumes a stream; empty for a new one.
    resume_after: str = ""


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata from the status line and headers of a response."""

    status: int
    # The upstream guarantees that it has not run the request and never will.
    is_not_run: bool
    # The response has the seal header; one without it was not made by an upstream.
    is_sealed: bool
    # The response has a content-encoding header.
    has_content_encoding: bool
    request_id: str = ""
    # Upstream named as the cause of a refusal; empty if none is named.
    faulty_upstream: str = ""
    # Requests a second that the upstream takes from all gateways together, while it
    # says so; None without such a limit.
    request_limit_per_s: float | None = None
    # The upstream announces that it is about to exit.
    is_leaving: bool = False
    # Seconds for which the upstream wants no further request of this gateway.
    pause_s: float | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


class MessageCodec(Protocol):
    """Translator between metadata and the headers of requests and responses."""

    def read_request(self, headers: HeaderList) -> RequestMetadata:
        """Return the metadata of a request from a caller."""

    def forwarded_headers(
        self, headers: HeaderList, forwarded: ForwardedMetadata
    ) -> HeaderList:
        """Return the headers of a request as it is sent to an upstream."""

    def read_response(self, status: int, headers: HeaderList) -> ResponseMetadata:
        """Return the metadata of a response from an upstream."""

    def refusal_headers(
        self, request_id: RequestId, retry_after_s: float | None
    ) -> HeaderList:
        """Return the headers of an error response that the gateway generates."""
