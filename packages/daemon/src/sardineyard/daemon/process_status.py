"""Metrics and parts of the state dump that the entry and the agent share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardineyard.telemetry.state import ConfigView, DocumentInForce

if TYPE_CHECKING:
    from sardineyard.configsync.messages import DocumentAdopted
    from sardineyard.core.states import ProcessState
    from sardineyard.telemetry.metrics import ProcessMetrics


def document_in_force(current: DocumentAdopted | None) -> DocumentInForce | None:
    """Convert the document in force for the state dump."""
    if current is None:
        return None
    return DocumentInForce(version=current.order.version, digest=current.order.digest)


def config_view(dump: dict[str, object]) -> ConfigView:
    """Convert the state of configuration sync for the state dump."""
    return msgspec.convert(msgspec.to_builtins(dump), ConfigView)


def update_process_metrics(
    metrics: ProcessMetrics, state: ProcessState, current: DocumentAdopted | None
) -> None:
    """Update the metrics of the process state and the document version."""
    metrics.process_state(state)
    metrics.document_in_force(0 if current is None else current.order.version)
