"""Metrics of the rebalancer."""

from __future__ import annotations

from sardineyard.telemetry.metrics import ProcessMetrics


class RebalancerMetrics(ProcessMetrics):
    """Metrics of a rebalancer."""

    def __init__(self, process: str) -> None:
        super().__init__(process)
        self._skew = self._gauge(
            "group_skew", "Largest over mean load of the ranks, mean over the sets."
        )
        self._changes = self._counter(
            "group_map_changes_total", "Changes of the expert map by result."
        )
        self._coordinator = self._gauge(
            "group_coordinator", "1 while this process levels the group."
        )
        self._store_calls = self._counter(
            "store_calls_total", "Calls to the platform's store by kind."
        )

    def skew(self, value: float) -> None:
        """Set the ratio of the largest to the mean load of the ranks."""
        self._skew.set({}, value)

    def map_change(self, result: str) -> None:
        """Count a change of the expert map by result."""
        self._changes.inc({"result": result})

    def set_coordinator(self, is_coordinator: bool) -> None:
        """Set whether this process coordinates the rebalancing of the group."""
        self._coordinator.set({}, int(is_coordinator))

    def store_call(self, kind: str) -> None:
        """Count a call to the platform's store."""
        self._store_calls.inc({"kind": kind})
