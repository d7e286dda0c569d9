"""Load-balancing policies; a router is created with one of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from itertools import count
from typing import TYPE_CHECKING

from sardineyard.routing.prefixes import RecentPrefixes, prefix_key
from sardineyard.routing.subset import rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from random import Random

    from sardineyard.core.ids import FailureDomain, ModelName, PriorityName, UpstreamId
    from sardineyard.routing.table import UpstreamTable, UpstreamView

# Relative difference up to which costs count as equal, so that the nearer failure
# domain wins.
_COST_TIE_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Request for an upstream that serves a model."""

    model: ModelName
    priority: PriorityName | None = None
    prompt: str = ""
    adapter: str = ""
    # Upstreams already tried for this request.
    excluded: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class PowerOfTwo:
    """Cheaper of two random upstreams, after affinity to a prefix or adapter."""

    failure_domain: FailureDomain
    # The upstream with affinity is used up to this multiple of the mean cost.
    load_bound: float = 1.25
    prefixes: RecentPrefixes = field(default_factory=RecentPrefixes)


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Upstreams in turn, as a baseline."""

    indices: Iterator[int] = field(default_factory=count)


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Uniformly random upstream, as a baseline."""


@dataclass(frozen=True, slots=True)
class LeastReportedLoad:
    """Upstream with the lowest last reported load, as a baseline."""


Policy = PowerOfTwo | RoundRobin | RandomChoice | LeastReportedLoad

_BASELINES: dict[str, type[RoundRobin | RandomChoice | LeastReportedLoad]] = {
    "round_robin": RoundRobin,
    "random": RandomChoice,
    "least_reported": LeastReportedLoad,
}


def policy_named(name: str, failure_domain: FailureDomain) -> Policy:
    """Return the policy for a name from the settings."""
    if name == "power_of_two":
        return PowerOfTwo(failure_domain)
    return _BASELINES[name]()


@singledispatch
def choose(
    policy: object,
    table: UpstreamTable,
    request: RouteRequest,
    now: float,
    rng: Random,
) -> UpstreamView | None:
    """Return the upstream for a request, or None if none is usable."""
    raise NotImplementedError(type(policy).__name__)


@choose.register(PowerOfTwo)
def _choose_power_of_two(
    policy: PowerOfTwo,
    table: UpstreamTable,
    request: RouteRequest,
    now: float,
    rng: Random,
) -> UpstreamView | None:
    views = table.usable(request.model, now, request.excluded)
    if len(views) < 2:
        return views[0] if views else None
    priority_index = table.priority_index(request.priority)
    mean_other_load = table.mean_other_load(views, priority_index)

    def cost(view: UpstreamView) -> float:
        return table.cost(view, priority_index, now, mean_other_load)

    key = _affinity_key(policy, request)
    if key is not None:
        preferred = _affinity_upstream(policy, views, key, cost)
        if preferred is not None:
            return preferred
    first, second = rng.sample(views, 2)
    return _cheaper(policy, first, second, cost)


@choose.register(RoundRobin)
def _choose_round_robin(
    policy: RoundRobin,
    table: UpstreamTable,
    request: RouteRequest,
    now: float,
    rng: Random,
) -> UpstreamView | None:
    views = table.usable(request.model, now, request.excluded)
    return views[next(policy.indices) % len(views)] if views else None


@choose.register(RandomChoice)
def _choose_random(
    policy: RandomChoice,
    table: UpstreamTable,
    request: RouteRequest,
    now: float,
    rng: Random,
) -> UpstreamView | None:
    views = table.usable(request.model, now, request.excluded)
    return rng.choice(views) if views else None


@choose.register(LeastReportedLoad)
def _choose_least_reported(
    policy: LeastReportedLoad,
    table: UpstreamTable,
    request: RouteRequest,
    now: float,
    rng: Random,
) -> UpstreamView | None:
    views = table.usable(request.model, now, request.excluded)
    return min(views, key=lambda view: view.reported / view.slots, default=None)


def domain_distance(one: FailureDomain, other: FailureDomain) -> int:
    """Return 0 for the same domain, 1 within a region and 2 between regions.

    A domain may be named `region/domain`; domains without a region share one region.
    """
    if one == other:
        return 0
    same_region = one.rpartition("/")[0] == other.rpartition("/")[0]
    return 1 if same_region else 2


def _affinity_key(policy: PowerOfTwo, request: RouteRequest) -> bytes | None:
    key = prefix_key(request.model, request.adapter, request.prompt)
    if request.prompt and policy.prefixes.check_and_record(key):
        return key
    if request.adapter:
        # An adapter that is loaded on few upstreams is evicted less often.
        return prefix_key(request.model, request.adapter, "")
    return None


def _affinity_upstream(
    policy: PowerOfTwo,
    views: list[UpstreamView],
    key: bytes,
    cost: Callable[[UpstreamView], float],
) -> UpstreamView | None:
    best = max(views, key=lambda view: rendezvous_score(key, view.seed))
    mean = sum(cost(view) for view in views) / len(views)
    return best if cost(best) <= policy.load_bound * mean else None


def _cheaper(
    policy: PowerOfTwo,
    first: UpstreamView,
    second: UpstreamView,
    cost: Callable[[UpstreamView], float],
) -> UpstreamView:
    first_cost, second_cost = cost(first), cost(second)
    if abs(first_cost - second_cost) <= _COST_TIE_FRACTION * max(
        first_cost, second_cost
    ):
        first_distance = domain_distance(policy.failure_domain, first.failure_domain)
        second_distance = domain_distance(policy.failure_domain, second.failure_domain)
        if first_distance != second_distance:
            return first if first_distance < second_distance else second
    return first if first_cost <= second_cost else second
