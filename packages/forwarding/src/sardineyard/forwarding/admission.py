"""Admission of requests: route, service, team, priority and deadline."""

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
    from sardineyard.forwarding.messages import RequestMetadata

# Factor by which the longest client timeout seen on a route decays with each request.
_DECAY_PER_REQUEST = 0.9995
# Minimum missing fraction of the longest client timeout that counts as time spent on
# earlier attempts; a smaller one is a difference between callers.
_MIN_SPENT_FRACTION = 0.03


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that the configuration admits, and how it is to be served."""

    metadata: RequestMetadata
    route: Route
    service: ServiceName
    team: TeamId | None
    priority: int
    deadline: Deadline
    config_version: int
    # Estimated seconds that the caller spent on earlier attempts at the same request.
    earlier_attempts_s: float = 0.0


class EarlierAttemptEstimator:
    """Estimates how long a caller has already spent on earlier attempts.

    The client timeout of a retry is what remains of the caller's total time, so it is
    shorter than the longest timeout seen on the route, by the time already spent.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def time_spent_s(self, route: Route, metadata: RequestMetadata) -> float:
        """Return the estimated seconds that a caller spent on earlier attempts."""
        if metadata.client_timeout_s is None:
            return 0.0
        # Operators may shorten the timeout that callers use, so the maximum decays.
        decayed = self._longest.get(route.name, 0.0) * _DECAY_PER_REQUEST
        self._longest[route.name] = longest = max(metadata.client_timeout_s, decayed)
        spent = longest - metadata.client_timeout_s
        return spent if spent > _MIN_SPENT_FRACTION * longest else 0.0


def resolve(
    config: ForwardingConfig | None,
    host: str,
    path: str,
    metadata: RequestMetadata,
    arrived: float,
    rng: Random,
    estimator: EarlierAttemptEstimator | None = None,
) -> Result[Admitted, RequestError]:
    """Return the admitted request, or the error with which it is refused."""
    if config is None:
        return Failure(RequestError(ErrorKind.NOT_READY, "no configuration yet"))
    route = find_route(config, host, path)
    if route is None:
        return Failure(RequestError(ErrorKind.NOT_FOUND, path))
    team = config.team_of_key.get(metadata.team_key)
    if team is None and config.teams and not route.is_public:
        return Failure(RequestError(ErrorKind.UNAUTHENTICATED, "unknown key"))
    if not metadata.request_id:
        return Failure(RequestError(ErrorKind.BAD_REQUEST, "no id of the attempt"))
    left_s = route.timeout_s
    if metadata.client_timeout_s is not None:
        left_s = min(left_s, metadata.client_timeout_s)
    team_priority = team.priority if team is not None else None
    return Success(
        Admitted(
            metadata,
            route,
            _choose_service(route, rng),
            team.team if team is not None else None,
            route.priority if team_priority is None else team_priority,
            Deadline(arrived + left_s),
            config.version,
            estimator.time_spent_s(route, metadata) if estimator is not None else 0.0,
        )
    )


def _choose_service(route: Route, rng: Random) -> ServiceName:
    if len(route.services) == 1:
        return route.services[0].service
    weights = [weighted.weight for weighted in route.services]
    return rng.choices(route.services, weights)[0].service
