"""Sections of the document that the forms edit, and the help text of each field."""

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
    """Name the sections that have forms."""

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
# The hash of a team's key is neither shown nor typed: keys are generated here.
HIDDEN_FIELDS = frozenset({"key_sha256"})

_NAME = "Letters, digits, dots, dashes and underscores."
_SET = "Ids of upstreams, separated by commas."
HINTS: Mapping[Section, Mapping[str, str]] = MappingProxyType(
    {
        Section.TEAMS: {
            "id": _NAME,
            "default_priority": "Priority of requests that name none.",
            "weight": "Share of service beside the other teams; 1 is usual.",
            "max_in_flight": "Open requests that the team may have at one entry.",
        },
        Section.PRIORITIES: {
            "name": f"{_NAME} Callers send it as X-Priority.",
            "first_token_target_s": "Seconds until the first token is due.",
            "finish_target_s": "Seconds until the whole answer is due.",
            "worth": "Value of one request that is answered inside its target.",
            "reserved_share": "Share of capacity that a flood cannot take, 0 to 1.",
            "default_timeout_s": "Time limit of a request that names none, seconds.",
        },
        Section.UPSTREAMS: {
            "id": f"{_NAME} The agent's settings name it as well.",
            "kind": "Protocol that the upstream speaks.",
            "agent_address": "IP address and port that the agent advertises.",
            "failure_domain": "Failure domain in which the upstream runs.",
            "models": "Models that it serves, separated by commas.",
            "slots": "Requests that it runs at the same time.",
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
            "rebalance_interval_s": "Seconds between two readings of the ranks.",
        },
        Section.SERVICES: {
            "name": f"{_NAME} Callers use it in /services/NAME/.",
            "upstreams": _SET,
            "previous_upstreams": (
                "Earlier sets that may still own keys, one set on each line. Filled "
                "when the set changes; remove a line when no key of it can be in use."
            ),
            "repeatable_methods": "HTTP methods whose calls may be run again.",
        },
    }
)


def identity_field(section: Section) -> str:
    """Return the field that identifies an item of a section."""
    return ITEM_TYPES[section].__struct_fields__[0]


def shown_fields(section: Section) -> tuple[str, ...]:
    """Return the fields that a form shows."""
    fields = ITEM_TYPES[section].__struct_fields__
    return tuple(field for field in fields if field not in HIDDEN_FIELDS)
