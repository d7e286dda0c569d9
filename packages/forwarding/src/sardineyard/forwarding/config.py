"""Configuration of a gateway: routes, services, teams and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique
from functools import cached_property
from typing import TYPE_CHECKING

from sardineyard.core.ids import UpstreamIncarnation

if TYPE_CHECKING:
    from sardineyard.core.ids import FailureDomain, ServiceName, TeamId


@unique
class RetryPolicy(Enum):
    """Condition under which a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    # A stream that another upstream can continue after its last event.
    RESUMABLE = "resumable"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its relative share of the requests of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rule that maps requests for a host and path prefix to services."""

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    retry_policy: RetryPolicy
    is_stream: bool
    # Maximum time in which a request is served, in seconds.
    timeout_s: float
    # Target time to first byte, in seconds.
    target_latency_s: float
    # Maximum gap between two events of a stream that counts as on time, in seconds.
    target_event_gap_s: float
    # Maximum number of upstreams to which one request is sent.
    max_upstreams: int
    # 0 is the most urgent.
    priority: int
    # Requests are accepted without a team key.
    is_public: bool


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Decode timing of a model engine, and the size of its expert layout."""

    # Requests that one rank runs concurrently.
    slots: int
    # A decode pass produces one event of each stream and takes this many steps.
    steps_per_pass: int
    # Milliseconds of a step without load, and those that each decoding request adds:
    # a fixed amount, and an amount for each thousand tokens of its context.
    step_ms: float
    step_ms_per_sequence: float
    step_ms_per_context_k: float
    typical_prompt_tokens: float
    typical_output_tokens: float
    # Number of layer sets that have an expert map each; zero if the model has none.
    layer_sets: int = 0
    # Experts of one layer set, and slots of one rank for copies of them.
    experts: int = 0
    expert_slots_per_rank: int = 0
    # Maximum number of experts of one layer set that a rank can load for a new map.
    spare_expert_slots: int = 0
    # Fraction of the work for each token that is done in experts.
    expert_share: float = 0.0
    # Seconds that a rank takes to load one expert of one layer set.
    expert_copy_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Properties of a service; the engine is None if the service runs no model."""

    name: ServiceName
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True)
class TeamKeys:
    """The API keys of a team, and the priority that overrides that of a route."""

    team: TeamId
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the timing of what a caller sends."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class ForwardingConfig:
    """One version of the configuration; a higher version is newer."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceProfile]
    teams: tuple[TeamKeys, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)

    @cached_property
    def team_of_key(self) -> dict[str, TeamKeys]:
        """Return the teams by API key."""
        return {key: team for team in self.teams for key in team.keys}

    @cached_property
    def routes_of_host(self) -> dict[str, tuple[Route, ...]]:
        """Return the routes by host, the longest path prefix first."""
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
            for host, routes in hosts.items()
        }


def find_route(config: ForwardingConfig, host: str, path: str) -> Route | None:
    """Return the route whose path prefix is the longest match, or None."""
    for route in config.routes_of_host.get(_host_name(host), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()


@unique
class UpstreamPhase(Enum):
    """Lifecycle phase that an upstream reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """The entry of an upstream in the platform's store."""

    id: str
    service: ServiceName
    host: str
    port: int
    failure_domain: FailureDomain
    # Requests that the upstream runs concurrently.
    slots: int
    phase: UpstreamPhase
    # Start time in Unix milliseconds.
    started_ms: int = 0

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Return what tells this start of the upstream from others under its id."""
        return UpstreamIncarnation((self.id, self.started_ms))
