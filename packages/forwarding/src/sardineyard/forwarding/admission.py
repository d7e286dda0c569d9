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

# Part of the longest patience that is kept with each request of a route.
_FADING = 0.9995
# Smaller parts of the patience are differences between callers, not earlier attempts.
_LEAST_SPENT = 0.03


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
    # Seconds that the caller spent on earlier attempts at the same request.
    waited_before_s: float = 0.0


class Patience:
    """Remember how long callers wait on each route when they first ask.

    A caller that comes back after a refusal has less time left than one that asks for
    the first time, which shows how much it has spent.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def spent_s(self, route: Route, facts: RequestFacts) -> float:
        """Return the seconds that a caller has spent on earlier attempts."""
        if facts.patience_s is None:
            return 0.0
        # Operators change what callers are told, so what was seen fades.
        faded = self._longest.get(route.name, 0.0) * _FADING
        self._longest[route.name] = longest = max(facts.patience_s, faded)
        spent = longest - facts.patience_s
        return spent if spent > _LEAST_SPENT * longest else 0.0


def resolve(
    config: ForwardingConfig | None,
    host: str,
    path: str,
    facts: RequestFacts,
    arrived: float,
    rng: Random,
    patience: Patience | None = None,
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
    left_s = route.timeout_s
    if facts.patience_s is not None:
        left_s = min(left_s, facts.patience_s)
    own_priority = team.priority if team is not None else None
    return Success(
        Admitted(
            facts,
            route,
            _choose_service(route, rng),
            team.team if team is not None else None,
            route.priority if own_priority is None else own_priority,
            Deadline(arrived + left_s),
            config.version,
            patience.spent_s(route, facts) if patience is not None else 0.0,
        )
    )


def _choose_service(route: Route, rng: Random) -> ServiceName:
    if len(route.services) == 1:
        return route.services[0].service
    weights = [part.weight for part in route.services]
    return rng.choices(route.services, weights)[0].service
