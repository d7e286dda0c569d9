"""Simulation of the read decisions of a whole fleet, without sockets."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

import pytest

from sardineyard.configsync.read_schedule import (
    DueStep,
    FleetView,
    Role,
    first_read,
    next_read,
    vm_list_delay,
    when_due,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sardineyard.configsync.members import MemberTable

READERS = 1_070
ENTRIES = 400
BUDGET_PER_S = 200
SECONDS = 30.0


class Simulation:
    """Run the decisions of each process on a queue of timed steps."""

    def __init__(
        self, tables: list[MemberTable], random: Random, up_at: float, spread_s: float
    ) -> None:
        self.tables = tables
        self.random = random
        self.up_at = up_at
        self.reads: list[float] = []
        self.has_document = [False] * len(tables)
        self.failures = [0] * len(tables)
        self.planned = [FleetView(1, Role.WATCHER)] * len(tables)
        self.has_read = [False] * len(tables)
        self.queue: list[tuple[float, int, str, int]] = []
        self.steps = 0
        for number in range(len(tables)):
            self._push(random.uniform(0, spread_s), "start", number)

    def _push(self, at: float, kind: str, number: int) -> None:
        self.steps += 1
        heapq.heappush(self.queue, (at, self.steps, kind, number))

    def run(self, seconds: float) -> None:
        """Take the steps that lie within a number of seconds."""
        while self.queue and self.queue[0][0] <= seconds:
            at, _, kind, number = heapq.heappop(self.queue)
            getattr(self, f"_{kind}")(at, number)

    def _start(self, at: float, number: int) -> None:
        for seed in range(3):
            if seed != number:
                self._exchange(at, number, seed)
        self.planned[number] = self.tables[number].view()
        plan = first_read(self.planned[number], self.random)
        self._push(at + plan.delay_s, "read", number)
        self._push(at + self.random.uniform(0, 0.5), "gossip", number)
        if number < ENTRIES:
            delay = vm_list_delay(self.planned[number], self.random)
            self._push(at + delay, "read_vm_list", number)

    def _gossip(self, at: float, number: int) -> None:
        peer = self.random.choice(self.tables[number].others)
        self._exchange(at, number, int(peer.process.rpartition("-")[2]))
        # Fewer exchanges than in service keep the test short; views converge later.
        pause = 0.5 if at < 2.0 else 3.0
        self._push(at + self.random.uniform(0.8, 1.2) * pause, "gossip", number)

    def _exchange(self, at: float, caller: int, callee: int) -> None:
        one, two = self.tables[caller], self.tables[callee]
        domain = one.own.failure_domain
        sent = one.select(domain, self.random)
        two.heard(one.own, one.size, at)
        two.merge(sent)
        one.heard(two.own, two.size, at)
        one.merge(two.select(domain, self.random))
        known = self.has_document[caller] or self.has_document[callee]
        self.has_document[caller] = self.has_document[callee] = known

    def _read(self, at: float, number: int) -> None:
        view = self.tables[number].view()
        has_document = self.has_document[number]
        step = when_due(self.planned[number], view, has_document=has_document)
        self.planned[number] = view
        if step is DueStep.PLAN_AGAIN and not self.has_read[number]:
            plan = first_read(view, self.random)
            self._push(at + plan.delay_s, "read", number)
            return
        if step is DueStep.READ:
            self.reads.append(at)
            self.has_read[number] = True
            is_up = at >= self.up_at
            self.failures[number] = 0 if is_up else self.failures[number] + 1
            self.has_document[number] |= is_up
        plan = next_read(view, self.failures[number], self.random)
        self._push(at + plan.delay_s + plan.wait_s, "read", number)

    def _read_vm_list(self, at: float, number: int) -> None:
        self.reads.append(at)
        delay = vm_list_delay(self.tables[number].view(), self.random)
        self._push(at + delay, "read_vm_list", number)

    def peak(self) -> int:
        """Return the largest number of reads in any window of one second."""
        window: deque[float] = deque()
        largest = 0
        for at in sorted(self.reads):
            window.append(at)
            while window[0] <= at - 1.0:
                window.popleft()
            largest = max(largest, len(window))
        return largest


@pytest.mark.parametrize(
    ("up_at", "spread_s"),
    [(0.0, 0.0), (SECONDS * 2, 0.0), (15.0, 0.0), (0.0, 5.0)],
    ids=["up", "down", "up-after-15s", "start-spread-over-5s"],
)
def test_a_mass_restart_stays_in_the_read_budget(
    make_tables: Callable[[int, int], list[MemberTable]],
    random: Random,
    up_at: float,
    spread_s: float,
) -> None:
    """Guards against a restart of the fleet that overloads the platform."""
    simulation = Simulation(make_tables(READERS, 7), random, up_at, spread_s)
    simulation.run(SECONDS)
    print(f"peak {simulation.peak()} reads/s, {len(simulation.reads)} in {SECONDS} s")
    assert simulation.peak() < BUDGET_PER_S
    assert all(simulation.has_document) is (up_at < SECONDS)
    roles = [table.view().role for table in simulation.tables]
    assert roles.count(Role.WATCHER) == 7 * 3
