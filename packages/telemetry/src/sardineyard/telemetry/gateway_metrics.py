"""Metrics of the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.telemetry.metrics import ProcessMetrics

if TYPE_CHECKING:
    from sardineyard.core.errors import ErrorKind


class GatewayMetrics(ProcessMetrics):
    """Metrics of a gateway."""

    def __init__(self, process: str) -> None:
        super().__init__(process)
        self._requests = self._counter(
            "gateway_requests_total", "Ended requests by priority and error kind."
        )
        self._open_requests = self._gauge(
            "gateway_open_requests", "Requests that have not ended."
        )
        self._slot_wait = self._histogram(
            "gateway_place_wait_seconds", "Time from arrival to a place, by priority."
        )
        self._first_byte = self._histogram(
            "gateway_first_byte_seconds", "Time from arrival to the first byte."
        )
        self._event_gaps = self._histogram(
            "gateway_pause_seconds", "Pause between two events of a stream."
        )
        self._calls = self._counter(
            "gateway_calls_total", "Calls to upstreams by service and result."
        )
        self._retries = self._counter(
            "gateway_repeats_total", "Further calls of a request by cause."
        )
        self._announcements = self._counter(
            "gateway_upstream_announcements_total",
            "Upstreams that announced their leaving or a pause, or resumed, by kind.",
        )
        self._store_calls = self._counter(
            "store_calls_total", "Calls to the platform's store by kind."
        )
        self._refused_traits = self._gauge(
            "gateway_refused_traits", "Traits refused because they crash upstreams."
        )
        self._connections = self._gauge(
            "gateway_connections", "Open connections by side."
        )

    def request_started(self) -> None:
        """Count a new open request."""
        self._open_requests.inc({})

    def request_ended(self, priority: int | None, kind: ErrorKind | None) -> None:
        """Count an ended request; without an error kind its response was complete."""
        self._open_requests.dec({})
        self._requests.inc(
            {
                "priority": "none" if priority is None else str(priority),
                "kind": "none" if kind is None else kind.value,
            }
        )

    def record_slot_wait(self, priority: int, seconds: float) -> None:
        """Record the seconds that a request waited for a slot."""
        self._slot_wait.observe({"priority": str(priority)}, seconds)

    def record_first_byte(self, priority: int, seconds: float) -> None:
        """Record the seconds from arrival to the first byte of the response."""
        self._first_byte.observe({"priority": str(priority)}, seconds)

    def record_event_gap(self, priority: int, seconds: float) -> None:
        """Record the seconds between two events of a stream."""
        self._event_gaps.observe({"priority": str(priority)}, seconds)

    def call_ended(self, service: str, result: str) -> None:
        """Count an ended call to an upstream by service and result."""
        self._calls.inc({"service": service, "result": result})

    def count_retry(self, cause: str) -> None:
        """Count a retry of a request by cause."""
        self._retries.inc({"cause": cause})

    def count_announcement(self, kind: str) -> None:
        """Count an upstream that leaves, pauses or resumes."""
        self._announcements.inc({"kind": kind})

    def store_call(self, kind: str) -> None:
        """Count a call to the platform's store."""
        self._store_calls.inc({"kind": kind})

    def refused_traits(self, count: int) -> None:
        """Set the number of traits whose requests are refused."""
        self._refused_traits.set({}, count)

    def connections(self, side: str, count: int) -> None:
        """Set the number of open connections to callers or upstreams."""
        self._connections.set({"side": side}, count)
