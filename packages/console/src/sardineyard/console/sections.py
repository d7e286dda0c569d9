"""Document sections that the console edits, with a help text for each field."""

from __future__ import annotations

from enum import Enum, unique
from types import MappingProxyType
from typing import TYPE_CHECKING

from sardineyard.document.model import Group, Priority, Service, Team, Upstream

if TYPE_CHECKING:
    from collections.abc import Mapping

    import msgspec


@unique
class Section(Enum):
    """Document section that the console edits."""

    TEAMS = "teams"
    PRIORITIES = "priorities"
    UPSTREAMS = "upstreams"
    GROUPS = "groups"
    SERVICES = "services"


ITEM_TYPES: Mapping[Section, type[msgspec.Struct]] = MappingProxyType(
    {
        Section.TEAMS: Team,
        Section.PRIORITIES: Priority,
        Section.UPSTREAMS: Upstream,
        Section.GROUPS: Group,
        Section.SERVICES: Service,
    }
)
# The console generates the keys of teams; their hashes are neither shown nor entered.
HIDDEN_FIELDS = frozenset({"key_sha256"})

_NAME = "Letters, digits, dots, dashes and underscores."
_SET = "Ids of upstreams, separated by commas."
HINTS: Mapping[Section, Mapping[str, str]] = MappingProxyType(
    {
        Section.TEAMS: {
            "id": _NAME,
            "default_priority": "Priority of requests that specify none.",
            "weight": "Share of service relative to the other teams; 1 is typical.",
            "max_in_flight": "Open requests that the team may have at one entry.",
        },
        Section.PRIORITIES: {
            "name": f"{_NAME} Callers send it as X-Priority.",
            "first_token_target_s": "Seconds until the first token is due.",
            "finish_target_s": "Seconds until the complete response is due.",
            "worth": "Value of one request that completes within its target.",
            "reserved_share": "Share of capacity, 0 to 1, guaranteed under load.",
            "default_timeout_s": "Time limit in seconds of requests that specify none.",
        },
        Section.UPSTREAMS: {
            "id": f"{_NAME} The agent's settings name it as well.",
            "kind": "Protocol that the upstream speaks.",
            "agent_address": "IP address and port that the agent advertises.",
            "failure_domain": "Failure domain in which the upstream runs.",
            "models": "Models that it serves, separated by commas.",
            "slots": "Requests that it runs concurrently.",
        },
        Section.GROUPS: {
            "id": _NAME,
            "model": "Model that the ranks run in lockstep.",
            "upstreams": f"{_SET} The first live one coordinates.",
            "ranks_per_upstream": "Ranks behind each upstream.",
            "experts": "Experts of each layer.",
            "slots_per_rank": "Expert replicas that fit in the memory of one rank.",
            "expert_bytes": "Size of one expert in bytes.",
            "rebalance_bytes_per_s": "Rate of the weight store for rebalancing.",
            "rebalance_interval_s": "Seconds between two polls of the ranks.",
        },
        Section.SERVICES: {
            "name": f"{_NAME} Callers use it in /services/NAME/.",
            "upstreams": _SET,
            "previous_upstreams": (
                "Earlier sets that may still own keys, one set per line. Filled when "
                "the set changes; remove a line when none of its keys can be in use."
            ),
            "repeatable_methods": "HTTP methods whose calls may run more than once.",
        },
    }
)


def identity_field(section: Section) -> str:
    """Return the name of the field that identifies an item of a section."""
    return ITEM_TYPES[section].__struct_fields__[0]


def form_fields(section: Section) -> tuple[str, ...]:
    """Return the names of the fields in the form of a section."""
    fields = ITEM_TYPES[section].__struct_fields__
    return tuple(field for field in fields if field not in HIDDEN_FIELDS)
