"""Random fault injection into a fleet that serves calls with idempotency keys."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from sardineyard.standins.keyed_fleet import KeyedFleet

_MIN_GAP_S = 0.5
_MAX_GAP_S = 2.5


class KeyedFaults:
    """Injector of random faults; the results name each fault by its method."""

    def __init__(self, fleet: KeyedFleet, random: Random) -> None:
        self.counts: Counter[str] = Counter()
        self._fleet = fleet
        self._random = random
        self._agents = {name: f"agent-{name}" for name in fleet.booking_upstreams}
        self._faults: list[Callable[[], Awaitable[None]]] = [
            self._kill_agent,
            self._pause_agent,
            self._replace_agent,
            self._cut_sessions,
            self._silence_sessions,
            self._delay_sessions,
            self._kill_entry,
            self._move_service,
            self._lose_answers,
        ]

    async def run(self) -> None:
        """Inject one fault at a time, until cancelled."""
        while True:
            gap = self._random.uniform(_MIN_GAP_S, _MAX_GAP_S)
            await asyncio.sleep(gap)
            fault = self._random.choice(self._faults)
            self.counts[fault.__name__.strip("_")] += 1
            await fault()

    def _upstream(self) -> str:
        return self._random.choice(self._fleet.booking_upstreams)

    async def _restart(self, name: str) -> None:
        process = self._fleet.processes[name]
        process.kill()
        await process.wait()
        await process.start()

    async def _kill_agent(self) -> None:
        await self._restart(self._agents[self._upstream()])

    async def _pause_agent(self) -> None:
        process = self._fleet.processes[self._agents[self._upstream()]]
        process.freeze()
        await asyncio.sleep(self._random.uniform(0.2, 3.0))
        process.thaw()

    async def _replace_agent(self) -> None:
        upstream = self._upstream()
        old = self._agents[upstream]
        if self._random.random() < 0.5:
            self._fleet.processes[old].freeze()
        self._agents[upstream] = await self._fleet.start_successor(upstream)
        await self._fleet.control_proxy(upstream, open="cut_some")
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        # The old incarnation runs for a while next to its successor.
        self._fleet.processes[old].thaw()
        await asyncio.sleep(self._random.uniform(0.2, 1.0))
        self._fleet.processes[old].kill()

    async def _cut_sessions(self) -> None:
        await self._fleet.control_proxy(self._upstream(), open="cut")

    async def _silence_sessions(self) -> None:
        upstream = self._upstream()
        await self._fleet.control_proxy(upstream, open="silence")
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        await self._fleet.control_proxy(upstream, open="release")

    async def _delay_sessions(self) -> None:
        upstream = self._upstream()
        delay_s = self._random.uniform(0.02, 0.2)
        await self._fleet.control_proxy(upstream, delay_s=delay_s)
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        await self._fleet.control_proxy(upstream, delay_s=0.0)

    async def _kill_entry(self) -> None:
        await self._restart(self._random.choice(self._fleet.entries))

    async def _move_service(self) -> None:
        names = self._fleet.booking_upstreams
        count = self._random.randint(2, len(names))
        await self._fleet.move_service(self._random.sample(names, count))

    async def _lose_answers(self) -> None:
        upstream = self._upstream()
        await self._fleet.control_runner(upstream, lost_share=0.3)
        await asyncio.sleep(self._random.uniform(0.3, 1.0))
        await self._fleet.control_runner(upstream, lost_share=0.0)
