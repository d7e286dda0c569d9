"""Metrics of the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.telemetry.metrics import ProcessMetrics

if TYPE_CHECKING:
    from sardineyard.core.errors import ErrorKind


class GatewayMetrics(ProcessMetrics):
    """Count what a gateway does."""

    def __init__(self, process: str) -> None:
        super().__init__(process)
        self._requests = self._counter(
            "gateway_requests_total", "Ended requests by priority and error kind."
        )
        self._open = self._gauge(
            "gateway_open_requests", "Requests that have not ended."
        )
        self._wait = self._histogram(
            "gateway_place_wait_seconds", "Time from arrival to a place, by priority."
        )
        self._first = self._histogram(
            "gateway_first_byte_seconds", "Time from arrival to the first byte."
        )
        self._pauses = self._histogram(
            "gateway_pause_seconds", "Pause between two events of a stream."
        )
        self._calls = self._counter(
            "gateway_calls_total", "Calls to upstreams by service and result."
        )
        self._repeats = self._counter(
            "gateway_repeats_total", "Further calls of a request by cause."
        )
        self._store_calls = self._counter(
            "store_calls_total", "Calls to the platform's store by kind."
        )
        self._connections = self._gauge(
            "gateway_connections", "Open connections by side."
        )

    def request_started(self) -> None:
        """Count a request that is now open."""
        self._open.inc({})

    def request_ended(self, priority: int | None, kind: ErrorKind | None) -> None:
        """Count an ended request; no error kind means a complete answer."""
        self._open.dec({})
        self._requests.inc(
            {
                "priority": "none" if priority is None else str(priority),
                "kind": "none" if kind is None else kind.value,
            }
        )

    def place_granted(self, priority: int, seconds: float) -> None:
        """Record the time that a request waited for its place, in seconds."""
        self._wait.observe({"priority": str(priority)}, seconds)

    def first_byte(self, priority: int, seconds: float) -> None:
        """Record the time from arrival to the first byte, in seconds."""
        self._first.observe({"priority": str(priority)}, seconds)

    def pause(self, priority: int, seconds: float) -> None:
        """Record the pause between two events, in seconds."""
        self._pauses.observe({"priority": str(priority)}, seconds)

    def call_ended(self, service: str, result: str) -> None:
        """Count a call to an upstream."""
        self._calls.inc({"service": service, "result": result})

    def repeated(self, cause: str) -> None:
        """Count a further call of a request."""
        self._repeats.inc({"cause": cause})

    def store_call(self, kind: str) -> None:
        """Count a call to the platform's store."""
        self._store_calls.inc({"kind": kind})

    def connections(self, side: str, count: int) -> None:
        """Record the open connections of one side."""
        self._connections.set({"side": side}, count)
