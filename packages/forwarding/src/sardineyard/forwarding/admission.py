"""Resolution of a request against the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.clock import Deadline
from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.forwarding.config import find_route

if TYPE_CHECKING:
    from random import Random

    from returns.result import Result

    from sardineyard.core.ids import ServiceName, TeamId
    from sardineyard.forwarding.config import ForwardingConfig, Route
    from sardineyard.forwarding.messages import RequestFacts


@dataclass(frozen=True, slots=True)
class Admitted:
    """Hold a request that the configuration allows."""

    facts: RequestFacts
    route: Route
    service: ServiceName
    team: TeamId | None
    priority: int
    deadline: Deadline
    config_version: int


def resolve(
    config: ForwardingConfig | None,
    host: str,
    path: str,
    facts: RequestFacts,
    arrived: float,
    rng: Random,
) -> Result[Admitted, RequestError]:
    """Return route, service, team and deadline of a request, or why it is refused."""
    if config is None:
        return Failure(RequestError(ErrorKind.NOT_READY, "no configuration yet"))
    route = find_route(config, host, path)
    if route is None:
        return Failure(RequestError(ErrorKind.NOT_FOUND, path))
    team = config.team_of_key.get(facts.team_key)
    if team is None and config.teams and not route.is_public:
        return Failure(RequestError(ErrorKind.UNAUTHENTICATED, "unknown key"))
    if not facts.request_id:
        return Failure(RequestError(ErrorKind.BAD_REQUEST, "no id of the attempt"))
    patience = route.timeout_s
    if facts.patience_s is not None:
        patience = min(patience, facts.patience_s)
    own_priority = team.priority if team is not None else None
    return Success(
        Admitted(
            facts,
            route,
            _choose_service(route, rng),
            team.team if team is not None else None,
            route.priority if own_priority is None else own_priority,
            Deadline(arrived + patience),
            config.version,
        )
    )


def _choose_service(route: Route, rng: Random) -> ServiceName:
    if len(route.services) == 1:
        return route.services[0].service
    weights = [part.weight for part in route.services]
    return rng.choices(route.services, weights)[0].service
