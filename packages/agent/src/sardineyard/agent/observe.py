"""Measurement of the calls that an agent runs."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from sardineyard.core.requests import CallFailed, GenerationEnd, ServiceAnswer

if TYPE_CHECKING:
    from sardineyard.agent.messages import CallSink
    from sardineyard.core.ids import PriorityName
    from sardineyard.core.requests import CallEvent
    from sardineyard.telemetry.metrics import AgentMetrics


@dataclass(frozen=True, slots=True)
class MeasuredSink:
    """Count the end of a call on the way to whoever asked for it."""

    sink: CallSink
    priority: PriorityName
    metrics: AgentMetrics

    def offer(self, message: CallEvent) -> bool:
        """Take an event and return whether there was room for it."""
        _count(message, self.priority, self.metrics)
        return self.sink.offer(message)


@singledispatch
def _count(event: object, priority: PriorityName, metrics: AgentMetrics) -> None:
    """Count an event that ends a call; tokens end none."""


@_count.register(GenerationEnd)
@_count.register(ServiceAnswer)
def _(
    event: GenerationEnd | ServiceAnswer, priority: PriorityName, metrics: AgentMetrics
) -> None:
    metrics.call_ended(priority)


@_count.register(CallFailed)
def _(event: CallFailed, priority: PriorityName, metrics: AgentMetrics) -> None:
    metrics.call_ended(priority, event.error)
