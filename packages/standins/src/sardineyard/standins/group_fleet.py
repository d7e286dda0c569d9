"""Group of agents as real processes, with a stand-in for their ranks."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.httpio.client import ResponseError, fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.fleet import MODEL, Fleet, FleetSpec

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

GROUP = "group-1"
_WAIT_S = 20.0
_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """Size of a group, interval of its rebalancing and options of its ranks."""

    runners: int = 3
    ranks_each: int = 2
    slots_per_rank: int = 16
    interval_s: float = 0.3
    control: dict[str, Any] = field(default_factory=dict)


class GroupFleet(Fleet):
    """Fleet with one agent for each runner of a group and without entries."""

    def __init__(self, spec: GroupSpec, folder: Path) -> None:
        super().__init__(FleetSpec(0, spec.runners, 0), folder)
        self.group = spec

    @property
    def agents(self) -> list[str]:
        """Return the names of the agents, in the order of their upstreams."""
        return [f"agent-{upstream}" for upstream in self.model_upstreams]

    def initial_document(self) -> dict[str, Any]:
        """Return the document with which the fleet starts, with its group."""
        group = {
            "id": GROUP,
            "model": MODEL,
            "upstreams": self.model_upstreams,
            "ranks_per_upstream": self.group.ranks_each,
            "slots_per_rank": self.group.slots_per_rank,
            "rebalance_interval_s": self.group.interval_s,
        }
        return {**super().initial_document(), "groups": [group]}

    def _add_runner(self, upstream: str) -> None:
        if "ranks" not in self.processes:
            addresses = [str(self.runners[name]) for name in self.model_upstreams]
            arguments = ["--addresses", *addresses]
            arguments += ["--ranks-each", str(self.group.ranks_each)]
            self.add_process("ranks", "sardineyard.standins.ranks", arguments)

    async def control(self, **change: Any) -> None:
        """Send a control message to the ranks."""
        body = msgspec.json.encode(change)
        address = self.runners[self.model_upstreams[0]]
        await fetch(address, HttpRequest("POST", "/control", {}, body), 5.0)

    async def ranks(self, last: int = 0) -> dict[str, Any]:
        """Return the record of the ranks, with the skews of the last steps."""
        address = self.runners[self.model_upstreams[0]]
        request = HttpRequest("GET", f"/record?last={last}")
        record: dict[str, Any] = msgspec.json.decode(
            (await fetch(address, request, 5.0)).body
        )
        return record

    async def wait_for_record(
        self, condition: Callable[[dict[str, Any]], bool]
    ) -> dict[str, Any]:
        """Wait until the record of the ranks meets a condition and return it."""
        async with asyncio.timeout(_WAIT_S):
            while True:
                try:
                    record = await self.ranks()
                except (OSError, ResponseError):
                    # The stand-in for the ranks is still starting.
                    record = None
                if record is not None and condition(record):
                    return record
                await asyncio.sleep(_POLL_S)

    async def wait_for_new_maps(self, count: int = 1) -> dict[str, Any]:
        """Unblock all orders and wait until a number of further maps were in use."""
        await self.control(blocked=[])
        known = len((await self.ranks())["maps"])
        return await self.wait_for_record(
            lambda record: len(record["maps"]) >= known + count
        )

    async def group_view(self, agent: str) -> dict[str, Any]:
        """Return the state of the group as an agent sees it."""
        group_view: dict[str, Any] = (await self.state(agent))["groups"][0]
        return group_view

    async def wait_until_coordinating(self, agent: str) -> None:
        """Wait until an agent acts as coordinator of the group."""
        async with asyncio.timeout(_WAIT_S):
            while not (await self.group_view(agent))["coordinating"]:  # noqa: ASYNC110
                await asyncio.sleep(_POLL_S)

    async def block_order(self, order: str) -> None:
        """Block an order such as "2 commit" and wait until one arrives."""
        await self.control(blocked=[order])
        known = len((await self.ranks())["orders"])

        def is_held(record: dict[str, Any]) -> bool:
            orders = record["orders"][known:]
            return any(o.startswith(order) and o.endswith("blocked") for o in orders)

        await self.wait_for_record(is_held)
