"""Metrics of all processes, and of entry and agent, with a method for each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from sardineyard.telemetry.labels import TeamClass

if TYPE_CHECKING:
    from sardineyard.core.control import ControlChannel, Direction
    from sardineyard.core.errors import ErrorKind, RequestError
    from sardineyard.core.ids import GroupId, PriorityName
    from sardineyard.core.states import ProcessState, UpstreamState

# Upper bounds of histogram buckets in seconds; 0.96 s is the first-token target.
_DURATION_BOUNDS_S = [
    0.001,
    0.005,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    0.96,
    2.0,
    5.0,
    20.0,
    60.0,
]
_DURATION_BUCKETS_S = [*_DURATION_BOUNDS_S, float("inf")]
_NO_PRIORITY = "none"


class ProcessMetrics:
    """Metrics that all processes have."""

    def __init__(self, process: str) -> None:
        self._registry = Registry()
        self._labels = {"process": process}
        self._document = self._gauge(
            "document_version", "Version of the configuration document in force."
        )
        self._control_bytes = self._counter(
            "control_bytes_total", "Bytes of control messages by channel and direction."
        )
        self._control_messages = self._counter(
            "control_messages_total", "Control messages by channel and direction."
        )
        self._state = self._gauge(
            "process_state", "1 for the state that the process is in."
        )

    def document_in_force(self, version: int) -> None:
        """Set the version of the document in force."""
        self._document.set({}, version)

    def count_control_message(
        self, channel: ControlChannel, direction: Direction, size: int
    ) -> None:
        """Count a control message and its size in bytes."""
        labels = {"channel": channel.value, "direction": direction.value}
        self._control_messages.inc(labels)
        self._control_bytes.add(labels, size)

    def process_state(self, state: ProcessState) -> None:
        """Set the state of the process."""
        for other in type(state):
            self._state.set({"state": other.value}, int(other is state))

    def render(self) -> tuple[dict[str, str], bytes]:
        """Return headers and body of a response in the Prometheus text format."""
        body, headers = render(self._registry, ())
        return {"content-type": str(headers["Content-Type"])}, body

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"sardineyard_{name}", doc, self._labels, self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"sardineyard_{name}", doc, self._labels, self._registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            f"sardineyard_{name}",
            doc,
            self._labels,
            self._registry,
            _DURATION_BUCKETS_S,
        )


class EntryMetrics(ProcessMetrics):
    """Metrics of an entry."""

    def __init__(self, process: str) -> None:
        super().__init__(process)
        self._requests = self._counter(
            "requests_total", "Ended requests by priority, team class, outcome, kind."
        )
        self._open_requests = self._gauge(
            "open_requests", "Requests that have not ended."
        )
        self._first_token = self._histogram(
            "first_token_seconds", "Time from a request's arrival to its first token."
        )
        self._finish = self._histogram(
            "finish_seconds", "Time from a request's arrival to its complete answer."
        )
        self._tokens = self._counter("tokens_total", "Tokens passed on to callers.")
        self._retries = self._counter(
            "retries_total", "Further attempts by the error kind that caused them."
        )
        self._upstreams = self._gauge(
            "upstreams", "Upstreams of the subset by believed state."
        )

    def request_started(self) -> None:
        """Count a new open request."""
        self._open_requests.inc({})

    def request_ended(
        self,
        priority: PriorityName | None,
        team: TeamClass = TeamClass.NONE,
        error: RequestError | None = None,
    ) -> None:
        """Count an ended request; without an error its response was complete."""
        self._open_requests.dec({})
        self._requests.inc(
            {
                "priority": priority or _NO_PRIORITY,
                "team_class": team.value,
                "outcome": "complete" if error is None else error.outcome.value,
                "kind": "none" if error is None else error.kind.value,
            }
        )

    def record_first_token(self, priority: PriorityName, seconds: float) -> None:
        """Record the seconds from arrival to the first token."""
        self._first_token.observe({"priority": priority}, seconds)

    def record_completion(self, priority: PriorityName, seconds: float) -> None:
        """Record the seconds from arrival to the complete response."""
        self._finish.observe({"priority": priority}, seconds)

    def count_tokens(self, priority: PriorityName, count: int) -> None:
        """Count tokens sent to a caller."""
        self._tokens.add({"priority": priority}, count)

    def count_retry(self, cause: ErrorKind) -> None:
        """Count a retry of a request."""
        self._retries.inc({"kind": cause.value})

    def upstreams(self, state: UpstreamState, count: int) -> None:
        """Set the number of upstreams of the subset in a state."""
        self._upstreams.set({"state": state.value}, count)


class AgentMetrics(ProcessMetrics):
    """Metrics of an agent."""

    def __init__(self, process: str) -> None:
        super().__init__(process)
        self._calls = self._counter(
            "calls_total", "Ended calls by priority, outcome and kind."
        )
        self._queue_time = self._histogram(
            "queue_seconds", "Time that a request waited in the agent's queue."
        )
        self._queued = self._gauge(
            "queued_requests", "Requests that wait, by priority."
        )
        self._running = self._gauge("running_requests", "Requests at the upstream.")
        self._lease = self._gauge(
            "address_lease", "1 while the agent holds the lease of its address."
        )
        self._key_count = self._gauge("idempotency_keys", "Keys in the key table.")
        self._stragglers = self._gauge("group_stragglers", "Slow ranks of a group.")
        self._map_version = self._gauge(
            "group_map_version", "Version of the expert map in use by a group."
        )

    def call_ended(
        self, priority: PriorityName, error: RequestError | None = None
    ) -> None:
        """Count an ended call; without an error its response was complete."""
        self._calls.inc(
            {
                "priority": priority,
                "outcome": "complete" if error is None else error.outcome.value,
                "kind": "none" if error is None else error.kind.value,
            }
        )

    def record_queue_time(self, priority: PriorityName, seconds: float) -> None:
        """Record the seconds that a request waited in the queue."""
        self._queue_time.observe({"priority": priority}, seconds)

    def queued(self, priority: PriorityName, count: int) -> None:
        """Set the number of queued requests of a priority."""
        self._queued.set({"priority": priority}, count)

    def running(self, count: int) -> None:
        """Set the number of requests running at the upstream."""
        self._running.set({}, count)

    def address_lease(self, held: bool) -> None:
        """Set whether the agent holds its address lease and may run keyed calls."""
        self._lease.set({}, int(held))

    def idempotency_keys(self, count: int) -> None:
        """Set the number of idempotency keys in the key table."""
        self._key_count.set({}, count)

    def group_stragglers(self, group: GroupId, count: int) -> None:
        """Set the number of slow ranks of a group."""
        self._stragglers.set({"group": group}, count)

    def group_map(self, group: GroupId, version: int) -> None:
        """Set the version of the expert map that a group uses."""
        self._map_version.set({"group": group}, version)
