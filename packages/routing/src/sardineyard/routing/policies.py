"""Policies that choose an upstream; a router is created with one of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from itertools import count
from typing import TYPE_CHECKING

from sardineyard.routing.prefixes import PrefixMemory, prefix_key
from sardineyard.routing.subset import rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from random import Random

    from sardineyard.core.ids import FailureDomain, ModelName, PriorityName, UpstreamId
    from sardineyard.routing.table import UpstreamTable, UpstreamView

# Costs closer than this count as equal, and the nearer failure domain wins.
_TIE = 0.1


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Ask for an upstream of a model."""

    model: ModelName
    priority: PriorityName | None = None
    prompt: str = ""
    adapter: str = ""
    # Upstreams that were tried for this request already.
    excluded: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class PowerOfTwo:
    """Take the cheaper of two random upstreams, with affinity to a prefix first."""

    failure_domain: FailureDomain
    # A preferred upstream is used up to this multiple of the mean load.
    load_bound: float = 1.25
    prefixes: PrefixMemory = field(default_factory=PrefixMemory)


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Take the upstreams in turn, as a baseline."""

    turns: Iterator[int] = field(default_factory=count)


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Take any upstream, as a baseline."""


@dataclass(frozen=True, slots=True)
class LeastReportedLoad:
    """Take the upstream with the lowest last report, as a baseline."""


Policy = PowerOfTwo | RoundRobin | RandomChoice | LeastReportedLoad

_BASELINES: dict[str, type[RoundRobin | RandomChoice | LeastReportedLoad]] = {
    "round_robin": RoundRobin,
    "random": RandomChoice,
    "least_reported": LeastReportedLoad,
}


def policy_named(name: str, failure_domain: FailureDomain) -> Policy:
    """Return the policy that a setting names."""
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
    """Return the upstream for a request, or None when there is none."""
    raise NotImplementedError(type(policy).__name__)


@choose.register(PowerOfTwo)
def _choose_of_two(
    policy: PowerOfTwo,
    table: UpstreamTable,
    request: RouteRequest,
    now: float,
    rng: Random,
) -> UpstreamView | None:
    views = table.usable(request.model, now, request.excluded)
    if len(views) < 2:
        return views[0] if views else None
    rank = table.rank(request.priority)
    others = table.mean_others(views, rank)

    def cost(view: UpstreamView) -> float:
        return table.cost(view, rank, now, others)

    key = _affinity_key(policy, request)
    if key is not None:
        preferred = _preferred(policy, views, key, cost)
        if preferred is not None:
            return preferred
    first, second = rng.sample(views, 2)
    return _cheaper(policy, first, second, cost)


@choose.register(RoundRobin)
def _choose_in_turn(
    policy: RoundRobin,
    table: UpstreamTable,
    request: RouteRequest,
    now: float,
    rng: Random,
) -> UpstreamView | None:
    views = table.usable(request.model, now, request.excluded)
    return views[next(policy.turns) % len(views)] if views else None


@choose.register(RandomChoice)
def _choose_any(
    policy: RandomChoice,
    table: UpstreamTable,
    request: RouteRequest,
    now: float,
    rng: Random,
) -> UpstreamView | None:
    views = table.usable(request.model, now, request.excluded)
    return rng.choice(views) if views else None


@choose.register(LeastReportedLoad)
def _choose_least(
    policy: LeastReportedLoad,
    table: UpstreamTable,
    request: RouteRequest,
    now: float,
    rng: Random,
) -> UpstreamView | None:
    views = table.usable(request.model, now, request.excluded)
    return min(views, key=lambda view: view.reported / view.slots, default=None)


def distance(one: FailureDomain, other: FailureDomain) -> int:
    """Return 0 for the same domain, 1 inside a region and 2 between regions.

    A domain may be named `region/domain`; without a region all are in one.
    """
    if one == other:
        return 0
    same_region = one.rpartition("/")[0] == other.rpartition("/")[0]
    return 1 if same_region else 2


def _affinity_key(policy: PowerOfTwo, request: RouteRequest) -> bytes | None:
    key = prefix_key(request.model, request.adapter, request.prompt)
    if request.prompt and policy.prefixes.is_shared(key):
        return key
    if request.adapter:
        # An adapter that is loaded at few upstreams is evicted less often.
        return prefix_key(request.model, request.adapter, "")
    return None


def _preferred(
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
    one, two = cost(first), cost(second)
    if abs(one - two) <= _TIE * max(one, two):
        near = distance(policy.failure_domain, first.failure_domain)
        far = distance(policy.failure_domain, second.failure_domain)
        if near != far:
            return first if near < far else second
    return first if one <= two else second
