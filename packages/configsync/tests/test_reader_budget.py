"""Test of the read schedule of a whole fleet by simulation, without sockets."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

import pytest

from sardineyard.configsync.read_schedule import (
    DueAction,
    FleetView,
    Role,
    action_when_due,
    plan_first_read,
    plan_next_read,
    vm_list_delay,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sardineyard.configsync.members import MemberTable

PROCESSES = 1_070
ENTRIES = 400
READ_BUDGET_PER_S = 200
SIMULATED_S = 30.0


class Simulation:
    """Discrete-event simulation of the platform reads of all processes.

    Processes start within `spread_s`, and the platform is down until `up_at`.
    """

    def __init__(
        self, tables: list[MemberTable], random: Random, up_at: float, spread_s: float
    ) -> None:
        self.tables = tables
        self.random = random
        self.up_at = up_at
        self.reads: list[float] = []
        self.has_document = [False] * len(tables)
        self.failures = [0] * len(tables)
        self.planned_views = [FleetView(1, Role.WATCHER)] * len(tables)
        self.has_read = [False] * len(tables)
        self.queue: list[tuple[float, int, str, int]] = []
        self.sequence = 0
        for number in range(len(tables)):
            self._push(random.uniform(0, spread_s), "start", number)

    def _push(self, at: float, kind: str, number: int) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (at, self.sequence, kind, number))

    def run(self, until_s: float) -> None:
        """Handle all events up to a time in seconds."""
        while self.queue and self.queue[0][0] <= until_s:
            at, _, kind, number = heapq.heappop(self.queue)
            getattr(self, f"_{kind}")(at, number)

    def _start(self, at: float, number: int) -> None:
        for seed in range(3):
            if seed != number:
                self._exchange(at, number, seed)
        self.planned_views[number] = self.tables[number].view()
        plan = plan_first_read(self.planned_views[number], self.random)
        self._push(at + plan.delay_s, "read", number)
        self._push(at + self.random.uniform(0, 0.5), "gossip", number)
        if number < ENTRIES:
            delay = vm_list_delay(self.planned_views[number], self.random)
            self._push(at + delay, "read_vm_list", number)

    def _gossip(self, at: float, number: int) -> None:
        peer = self.random.choice(self.tables[number].others)
        self._exchange(at, number, int(peer.process.rpartition("-")[2]))
        # Fewer exchanges than in production keep the test fast; views converge later.
        interval = 0.5 if at < 2.0 else 3.0
        self._push(at + self.random.uniform(0.8, 1.2) * interval, "gossip", number)

    def _exchange(self, at: float, client: int, server: int) -> None:
        client_table, server_table = self.tables[client], self.tables[server]
        domain = client_table.local_member.failure_domain
        sent = client_table.select(domain, self.random)
        server_table.record_contact(client_table.local_member, client_table.size, at)
        server_table.merge(sent)
        client_table.record_contact(server_table.local_member, server_table.size, at)
        client_table.merge(server_table.select(domain, self.random))
        has_document = self.has_document[client] or self.has_document[server]
        self.has_document[client] = self.has_document[server] = has_document

    def _read(self, at: float, number: int) -> None:
        view = self.tables[number].view()
        has_document = self.has_document[number]
        action = action_when_due(
            self.planned_views[number], view, has_document=has_document
        )
        self.planned_views[number] = view
        if action is DueAction.REPLAN and not self.has_read[number]:
            plan = plan_first_read(view, self.random)
            self._push(at + plan.delay_s, "read", number)
            return
        if action is DueAction.READ:
            self.reads.append(at)
            self.has_read[number] = True
            is_up = at >= self.up_at
            self.failures[number] = 0 if is_up else self.failures[number] + 1
            self.has_document[number] |= is_up
        plan = plan_next_read(view, self.failures[number], self.random)
        self._push(at + plan.delay_s + plan.long_poll_s, "read", number)

    def _read_vm_list(self, at: float, number: int) -> None:
        self.reads.append(at)
        delay = vm_list_delay(self.tables[number].view(), self.random)
        self._push(at + delay, "read_vm_list", number)

    def peak(self) -> int:
        """Return the largest number of reads in any one-second window."""
        recent: deque[float] = deque()
        largest = 0
        for at in sorted(self.reads):
            recent.append(at)
            while recent[0] <= at - 1.0:
                recent.popleft()
            largest = max(largest, len(recent))
        return largest


@pytest.mark.parametrize(
    ("up_at", "spread_s"),
    [(0.0, 0.0), (SIMULATED_S * 2, 0.0), (15.0, 0.0), (0.0, 5.0)],
    ids=["up", "down", "up-after-15s", "start-spread-over-5s"],
)
def test_mass_restart_stays_within_the_read_budget(
    make_tables: Callable[[int, int], list[MemberTable]],
    random: Random,
    up_at: float,
    spread_s: float,
) -> None:
    """Guards against a mass restart that overloads the platform."""
    simulation = Simulation(make_tables(PROCESSES, 7), random, up_at, spread_s)
    simulation.run(SIMULATED_S)
    print(
        f"peak {simulation.peak()} reads/s, {len(simulation.reads)} in {SIMULATED_S} s"
    )
    assert simulation.peak() < READ_BUDGET_PER_S
    assert all(simulation.has_document) is (up_at < SIMULATED_S)
    roles = [table.view().role for table in simulation.tables]
    assert roles.count(Role.WATCHER) == 7 * 3
