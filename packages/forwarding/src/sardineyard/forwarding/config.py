"""The configuration that a gateway follows: routes, services, teams and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.ids import FailureDomain, ServiceName, TeamId


@unique
class Repetition(Enum):
    """Say whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    # A stream that another upstream can continue behind the last event.
    RESUMABLE = "resumable"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Give a service a share of the requests of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Send the requests of one host and path prefix to services."""

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    repetition: Repetition
    is_stream: bool
    # Longest time that a request may stay unanswered, in seconds.
    timeout_s: float
    # Time to the first byte that the operator aims at, in seconds.
    target_latency_s: float
    # Longest pause between events of a stream that counts as on time, in seconds.
    target_pause_s: float
    max_upstreams: int
    # 0 is the most urgent.
    priority: int
    is_public: bool


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Describe how long the passes of a model engine take."""

    slots: int
    steps_per_pass: int
    # Milliseconds of one step, and what each writing request adds to it.
    step_ms: float
    step_ms_per_sequence: float
    step_ms_per_context_k: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    # Expert layout; zero sets where the model has no expert maps.
    layer_sets: int = 0
    experts: int = 0
    places_per_rank: int = 0
    # Most experts of one set that a rank can load for a new map.
    spare_places: int = 0
    # Share of the work for tokens that experts do.
    expert_share: float = 0.0
    # Seconds in which a rank loads one expert of one set.
    expert_copy_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Describe one service; the engine is None for a plain service."""

    name: ServiceName
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True)
class TeamKeys:
    """Hold the keys of one team and its own priority, if it has one."""

    team: TeamId
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """Bound what a client may send; times in seconds."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class ForwardingConfig:
    """Hold one version of the configuration; greater versions are newer."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceProfile]
    teams: tuple[TeamKeys, ...]
    limits: FrontLimits = field(default_factory=FrontLimits)

    @cached_property
    def team_of_key(self) -> dict[str, TeamKeys]:
        """Return the team of each key."""
        return {key: team for team in self.teams for key in team.keys}

    @cached_property
    def routes_of_host(self) -> dict[str, tuple[Route, ...]]:
        """Return the routes of each host, the longest path prefix first."""
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
            for host, routes in hosts.items()
        }


def find_route(config: ForwardingConfig, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of the path, if there is one."""
    for route in config.routes_of_host.get(_host_name(host), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()


@unique
class UpstreamPhase(Enum):
    """Say what an upstream reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Hold what the platform lists about one upstream."""

    id: str
    service: ServiceName
    host: str
    port: int
    failure_domain: FailureDomain
    slots: int
    phase: UpstreamPhase
    # Unix millisecond of the start; another one is another incarnation of the id.
    started_ms: int = 0
