"""Consistency checks across the items of a document."""

from __future__ import annotations

from collections import Counter
from functools import singledispatch
from ipaddress import ip_address
from typing import TYPE_CHECKING, Any

from sardineyard.core.states import UpstreamKind
from sardineyard.document.model import (
    Group,
    Priority,
    Service,
    Team,
    Upstream,
)
from sardineyard.document.violations import violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from sardineyard.core.ids import UpstreamId
    from sardineyard.document.model import (
        Document,
    )
    from sardineyard.document.violations import Violation

# Shares are decimal fractions, so rounding may put their sum slightly above 1.
_SHARE_TOLERANCE = 1e-9


class _Index:
    """Lookup tables for the items of a document."""

    def __init__(self, document: Document) -> None:
        self.priority_names = {priority.name for priority in document.priorities}
        self.upstreams = {upstream.id: upstream for upstream in document.upstreams}
        self.address_counts = Counter(u.agent_address for u in document.upstreams)
        self.key_counts = Counter(team.key_sha256 for team in document.teams)
        self.group_counts = Counter(
            u for g in document.groups for u in set(g.upstreams)
        )


def consistency_violations(document: Document) -> tuple[Violation, ...]:
    """Return all inconsistencies of a document that satisfies its schema."""
    index = _Index(document)
    found = [*_duplicate_violations(document), *_share_violations(document)]
    for section in ("priorities", "teams", "upstreams", "groups", "services"):
        for position, item in enumerate(getattr(document, section)):
            found.extend(_check(item, f"$.{section}[{position}]", index))
    return tuple(found)


def _duplicate_violations(document: Document) -> Iterator[Violation]:
    sections: dict[str, list[str]] = {
        "priorities": [priority.name for priority in document.priorities],
        "teams": [team.id for team in document.teams],
        "upstreams": [upstream.id for upstream in document.upstreams],
        "groups": [group.id for group in document.groups],
        "services": [service.name for service in document.services],
    }
    for section, names in sections.items():
        field = "name" if section in ("priorities", "services") else "id"
        for position in _repeated_positions(names):
            path = f"$.{section}[{position}].{field}"
            yield violation(path, names[position], f"used twice in {section}")


def _repeated_positions(names: Iterable[str]) -> Iterator[int]:
    seen = set()
    for position, name in enumerate(names):
        if name in seen:
            yield position
        seen.add(name)


def _share_violations(document: Document) -> Iterator[Violation]:
    total = sum(priority.reserved_share for priority in document.priorities)
    if total > 1.0 + _SHARE_TOLERANCE:
        reason = "the reserved shares of all priorities add up to more than 1"
        yield violation("$.priorities", round(total, 9), reason)


@singledispatch
def _check(item: Any, path: str, index: _Index) -> Iterator[Violation]:
    raise TypeError(f"unsupported item type {type(item).__name__}")


@_check.register(Priority)
def _(item: Priority, path: str, index: _Index) -> Iterator[Violation]:
    if item.first_token_target_s > item.finish_target_s:
        reason = f"later than finish_target_s, which is {item.finish_target_s}"
        yield violation(
            f"{path}.first_token_target_s", item.first_token_target_s, reason
        )


@_check.register(Team)
def _(item: Team, path: str, index: _Index) -> Iterator[Violation]:
    if item.default_priority not in index.priority_names:
        reason = "no such priority"
        yield violation(f"{path}.default_priority", item.default_priority, reason)
    if index.key_counts[item.key_sha256] > 1:
        reason = "another team has the same key"
        yield violation(f"{path}.key_sha256", item.key_sha256, reason)


@_check.register(Upstream)
def _(item: Upstream, path: str, index: _Index) -> Iterator[Violation]:
    field = f"{path}.agent_address"
    problem = address_problem(item.agent_address)
    if problem is not None:
        yield violation(field, item.agent_address, problem)
    if index.address_counts[item.agent_address] > 1:
        yield violation(field, item.agent_address, "another upstream has this address")
    if item.kind is UpstreamKind.MODEL_RUNNER and not item.models:
        yield violation(f"{path}.models", [], "a model runner needs a model")
    if item.kind is UpstreamKind.PLAIN_SERVICE and item.models:
        yield violation(f"{path}.models", item.models, "a plain service has no models")
    for position in _repeated_positions(item.models):
        yield violation(f"{path}.models[{position}]", item.models[position], "repeated")


@_check.register(Group)
def _(item: Group, path: str, index: _Index) -> Iterator[Violation]:
    yield from _member_violations(
        item.upstreams, f"{path}.upstreams", UpstreamKind.MODEL_RUNNER, index
    )
    for position, member in enumerate(item.upstreams):
        field = f"{path}.upstreams[{position}]"
        upstream = index.upstreams.get(member)
        if upstream is not None and item.model not in upstream.models:
            yield violation(field, member, f"does not list the model {item.model}")
        if index.group_counts[member] > 1:
            yield violation(field, member, "belongs to another group as well")
    slots = len(item.upstreams) * item.ranks_per_upstream * item.slots_per_rank
    if slots < item.experts:
        reason = f"only {slots} expert slots on all ranks together"
        yield violation(f"{path}.experts", item.experts, reason)


@_check.register(Service)
def _(item: Service, path: str, index: _Index) -> Iterator[Violation]:
    kind = UpstreamKind.PLAIN_SERVICE
    yield from _member_violations(item.upstreams, f"{path}.upstreams", kind, index)
    for number, previous in enumerate(item.previous_upstreams):
        field = f"{path}.previous_upstreams[{number}]"
        if not previous:
            yield violation(field, [], "an earlier set cannot be empty")
        # An upstream that was removed may still be listed, since it may have run calls
        # with idempotency keys.
        yield from _member_violations(previous, field, kind, index, must_exist=False)


def _member_violations(
    members: tuple[UpstreamId, ...],
    path: str,
    kind: UpstreamKind,
    index: _Index,
    *,
    must_exist: bool = True,
) -> Iterator[Violation]:
    for position in _repeated_positions(members):
        yield violation(f"{path}[{position}]", members[position], "repeated")
    for position, member in enumerate(members):
        upstream = index.upstreams.get(member)
        if upstream is None:
            if must_exist:
                yield violation(f"{path}[{position}]", member, "no such upstream")
        elif upstream.kind is not kind:
            reason = f"the upstream is not a {kind.value}"
            yield violation(f"{path}[{position}]", member, reason)


def address_problem(text: str) -> str | None:
    """Return why a text is not an IP address and port, or None if it is valid."""
    host, separator, port = text.rpartition(":")
    if not separator:
        return "no port; an IP address and a port are required"
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= 65_535):
        return "the port is not a number between 1 and 65535"
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        parsed = ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return "the host is not an IP address"
    if bracketed != (parsed.version == 6):
        return "brackets are required around an IPv6 address and nowhere else"
    return None
