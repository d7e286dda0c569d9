"""Metrics of the calls that an agent runs."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from sardineyard.core.requests import CallFailed, GenerationEnd, ServiceResponse

if TYPE_CHECKING:
    from sardineyard.agent.messages import CallSink
    from sardineyard.core.ids import PriorityName
    from sardineyard.core.requests import CallEvent
    from sardineyard.telemetry.metrics import AgentMetrics


@dataclass(frozen=True, slots=True)
class MetricsSink:
    """Sink that records the end of a call in the metrics and forwards its events."""

    sink: CallSink
    priority: PriorityName
    metrics: AgentMetrics

    def offer(self, message: CallEvent) -> bool:
        """Forward an event; return False if the receiver's queue is full."""
        _record(message, self.priority, self.metrics)
        return self.sink.offer(message)


@singledispatch
def _record(event: object, priority: PriorityName, metrics: AgentMetrics) -> None:
    """Record an event that ends a call; ignore token batches."""


@_record.register(GenerationEnd)
@_record.register(ServiceResponse)
def _(
    event: GenerationEnd | ServiceResponse,
    priority: PriorityName,
    metrics: AgentMetrics,
) -> None:
    metrics.call_ended(priority)


@_record.register(CallFailed)
def _(event: CallFailed, priority: PriorityName, metrics: AgentMetrics) -> None:
    metrics.call_ended(priority, event.error)
