"""Stand-in for a group of model runners: passes, expert maps, orders and reports.

A rank checks an order when it carries it out, as PROTOCOL.md says. Two disruptions can
be switched on: orders that get no answer and are carried out late (`applied_late`), and
second copies of an answer that arrive where the next one is expected (`garble`, extra
late).
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import TYPE_CHECKING

from world import Server

if TYPE_CHECKING:
    from world import Connection, Record, Request

SETS, EXPERTS, PLACES, SPARE = 4, 64, 5, 2
PASS_S = 0.07
CHOICES = 2_000
COPY_S = 0.11


class Rank:
    """One rank of the group, with its HTTP server."""

    def __init__(self, group: Group, index: int, host: str, port: int) -> None:
        self.group, self.index, self.host = group, index, host
        self.address = f"{host}:{port}"
        self.born = int(time.time() * 1000) + index
        self.map = (0, group.first_map)
        self.highest = 0
        self.prepared: tuple[int, list] | None = None
        self.prepared_at = 0.0
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None
        self.fence = 0
        self.sequence = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.answers = self.copies = 0
        self.orders = self.late_orders = 0
        self.server = Server(host, port, self._serve)

    @property
    def is_loaded(self) -> bool:
        """Return whether the prepared map is loaded."""
        return self.prepared is not None and time.monotonic() >= self.prepared_at

    async def _serve(self, connection: Connection, request: Request) -> None:
        group = self.group
        order = json.loads(request.body) if request.path == "/order" else {}
        if connection.last_answer and group.is_copied(self):
            # The second copy of the last answer comes where this one is expected.
            self.copies += 1
            group.record(f"rank {self.index}: second copy of the last answer, late")
            connection.write(connection.last_answer)
        self.answers += 1
        if request.path == "/report":
            connection.answer(200, self.report())
        elif request.path == "/picked":
            connection.answer(200, self.picked("lists" in request.query))
        elif request.path == "/order":
            self.orders += 1
            if group.is_late(self):
                delay = group.rng.uniform(2.0, 12.0)
                self.late_orders += 1
                group.record(
                    f"rank {self.index}: {_short(order)} unanswered, in {delay:.1f} s"
                )
                loop = asyncio.get_running_loop()
                loop.call_later(delay, self._apply_late, order)
                # The connection gives no answer any more.
                await connection.reader.read()
                return
            status = self.apply(order)
            if order["op"] != "prepare" or status != 202:
                group.record(f"rank {self.index}: {_short(order)} -> {status}")
            connection.answer(status, {"sequence": self.sequence})
        else:
            connection.answer(404)

    def _apply_late(self, order: dict) -> None:
        status = self.apply(order)
        self.group.record(
            f"rank {self.index}: {_short(order)} carried out late -> {status}"
        )

    def report(self) -> dict:
        """Return the body of the report."""
        group = self.group
        armed = self.armed
        return {
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.sequence,
            "queueLen": 0,
            "activeReqs": 4,
            "kvUsed": 4000,
            "kvTotal": 140000,
            "handles": 0,
            "born": self.born,
            "group": {"name": "g", "epoch": 1, "rank": self.index, "state": "open"},
            "size": len(group.ranks),
            "step": group.step,
            "map": self.map[0],
            "prepared": self.prepared[0] if self.is_loaded else None,
            "armed": {"version": armed[0], "step": armed[1]} if armed else None,
            "held": self.held,
            "pace": 1.0,
        }

    def picked(self, lists: bool) -> dict:
        """Return the body with the counts."""
        body = {
            "step": self.group.step,
            "epoch": 1,
            "counts": self.counts,
            "born": self.born,
        }
        if lists:
            version, layout = self.map
            experts = [placement[self.index] for placement in layout]
            body["map"] = {"version": version, "experts": experts}
        return body

    def apply(self, order: dict) -> int:
        """Carry out an order and return the status of its answer."""
        if order.get("epoch", 1) != 1:
            return 409
        if order.get("fence", 0) < self.fence:
            return 412
        self.fence = order.get("fence", self.fence)
        status = self._carry_out(order)
        if status == 202:
            self.sequence += 1
        return status

    def _carry_out(self, order: dict) -> int:
        step = self.group.step
        match order["op"]:
            case "prepare":
                version, layout = order["version"], order["map"]
                if self.prepared == (version, layout):
                    return 200 if self.is_loaded else 202
                if version <= self.highest or self.armed is not None:
                    return 409
                new = [
                    len(set(placement[self.index]) - set(current[self.index]))
                    for placement, current in zip(layout, self.map[1], strict=True)
                ]
                if any(n > SPARE for n in new) or any(
                    len(p[self.index]) > PLACES for p in layout
                ):
                    return 409
                self.highest, self.prepared = version, (version, layout)
                self.prepared_at = time.monotonic() + COPY_S * sum(new)
                return 202 if sum(new) else 200
            case "arm":
                target = (order["version"], order["step"])
                if self.armed == target:
                    return 200
                if not self.is_loaded or self.prepared[0] != order["version"]:
                    return 409
                if order["step"] <= step:
                    return 409
                self.armed = target
                return 202
            case "disarm":
                if self.map[0] == order["version"]:
                    return 409
                if self.armed is None or self.armed[0] != order["version"]:
                    return 200
                self.armed = None
                return 202
            case "hold":
                if self.held == order["step"]:
                    return 200
                if order["step"] <= step or self.held is not None:
                    return 409
                self.held = order["step"]
                return 202
            case "go":
                if self.held != order["step"]:
                    return 200
                self.held = None
                return 202
        return 400


class Group:
    """Ranks that begin each pass together."""

    def __init__(self, record: Record, hosts: list[str], port: int, seed: int) -> None:
        self.record = record
        self.rng = random.Random(seed)
        size = len(hosts)
        placement = [[e for e in range(EXPERTS) if e % size == r] for r in range(size)]
        self.first_map = [placement for _ in range(SETS)]
        self.step = 10
        self.popularity = [1 / (1 + e) ** 1.1 for e in range(EXPERTS)]
        self.mixed_passes = 0
        self.switches = 0
        # Disruptions, each in force until a time.
        self.late_until = self.copies_until = 0.0
        self.late_share = self.copy_share = 0.0
        self.copying: set[int] = set()
        self.ranks = [Rank(self, i, host, port) for i, host in enumerate(hosts)]

    def is_late(self, rank: Rank) -> bool:
        """Draw whether an order is unanswered and carried out late."""
        return (
            time.monotonic() < self.late_until and self.rng.random() < self.late_share
        )

    def is_copied(self, rank: Rank) -> bool:
        """Draw whether a second copy of an answer comes late."""
        return (
            time.monotonic() < self.copies_until
            and rank.index in self.copying
            and self.rng.random() < self.copy_share
        )

    async def shift_demand(self, every_s: float) -> None:
        """Let other experts be in demand again and again."""
        while True:
            self.rng.shuffle(self.popularity)
            await asyncio.sleep(every_s)

    async def run(self) -> None:
        """Begin passes until cancelled."""
        while True:
            await asyncio.sleep(PASS_S)
            step = self.step + 1
            if any(rank.held == step for rank in self.ranks):
                continue
            self.step = step
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] == step:
                    rank.map, rank.prepared, rank.armed = rank.prepared, None, None
                    self.switches += 1
            total = sum(self.popularity)
            chosen = [int(CHOICES * share / total) for share in self.popularity]
            for rank in self.ranks:
                rank.counts = [
                    old + new
                    for old, new in zip(rank.counts, chosen * SETS, strict=True)
                ]
            maps = {json.dumps(rank.map) for rank in self.ranks}
            if len(maps) > 1:
                if self.mixed_passes == 0:
                    versions = [rank.map[0] for rank in self.ranks]
                    self.record(f"BROKEN: pass {step} begins with maps {versions}")
                self.mixed_passes += 1


def _short(order: dict) -> str:
    text = f"{order['op']} {order.get('version', '')} step {order.get('step', '')}"
    return f"{text} fence {order.get('fence')}"
