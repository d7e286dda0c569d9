"""Load of keyed calls under faults, judged by the record of the booking runners."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING
from uuid import uuid4

from sardineyard.core.errors import Outcome
from sardineyard.standins.demo import new_key
from sardineyard.standins.keyed_faults import KeyedFaults
from sardineyard.standins.keyed_fleet import UNTIMED_WINDOW_S, Booking

if TYPE_CHECKING:
    from sardineyard.standins.keyed_fleet import KeyedFleet

_ATTEMPTS = 4
_ATTEMPT_TIMEOUT_S = 2.0
_PAUSE_S = 0.3
_UNTIMED_SHARE = 0.05
_RACING_SHARE = 0.1
# Some calls are sent again up to this time after their answer, when another
# incarnation or another upstream may own the key.
_LATE_SHARE = 0.1
_LATEST_REPEAT_S = 5.0
# Attempts of untimed keys end this long before their window does.
_UNTIMED_MARGIN_S = 2.0
_WEIGHTS = (Outcome.RAN, Outcome.UNKNOWN, Outcome.NOT_RUN)


@dataclass(slots=True)
class _Call:
    """Hold what a caller learned about one key."""

    key: str
    last: Booking = field(default_factory=lambda: Booking(Outcome.UNKNOWN))


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Hold the figures of one run."""

    calls: int
    seconds: float
    faults: Counter[str]
    outcomes: Counter[Outcome]
    kinds_of_unknown: Counter[str]
    keys_with_two_runs: list[str]
    # Keys whose callers were told at the end that they were not run, although a run
    # was recorded before or afterwards.
    false_not_run: list[str]
    ran_without_run: list[str]
    avoidable_unknown: int

    @property
    def holds(self) -> bool:
        """Return whether the promise held for every key."""
        return not (
            self.keys_with_two_runs or self.false_not_run or self.ran_without_run
        )

    def lines(self) -> list[str]:
        """Return the figures as text."""
        counts = ", ".join(f"{each.value} {self.outcomes[each]}" for each in Outcome)
        return [
            f"calls: {self.calls} in {self.seconds:.0f} s",
            f"faults: {dict(self.faults)}",
            f"keys with two runs: {len(self.keys_with_two_runs)}",
            f"keys called not_run that ran: {len(self.false_not_run)}",
            f"keys called ran without a run: {len(self.ran_without_run)}",
            f"last outcome of each call: {counts}",
            f"unknown although no process ever had the call: {self.avoidable_unknown}",
            f"kinds of the unknown ones: {dict(self.kinds_of_unknown.most_common())}",
        ]


class KeyedLoad:
    """Send bookings from several callers while faults happen."""

    def __init__(self, fleet: KeyedFleet, seed: int, callers: int = 64) -> None:
        self._fleet = fleet
        self._random = Random(seed)
        self._faults = KeyedFaults(fleet, Random(seed + 1))
        self._callers = callers
        self._calls: list[_Call] = []

    async def run(self, count: int, per_s: float) -> LoadResult:
        """Send a number of calls at a rate and judge them."""
        started = time.monotonic()
        faults = asyncio.create_task(self._faults.run())
        free = asyncio.Semaphore(self._callers)
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                due = started + number / per_s
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                await free.acquire()
                group.create_task(self._call(free))
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        return self._judge(time.monotonic() - started, await self._fleet.runs())

    async def _call(self, free: asyncio.Semaphore) -> None:
        timed = self._random.random() >= _UNTIMED_SHARE
        call = _Call(new_key() if timed else uuid4().hex)
        self._calls.append(call)
        give_up_at = time.monotonic() + (
            60.0 if timed else UNTIMED_WINDOW_S - _UNTIMED_MARGIN_S
        )
        try:
            for attempt in range(_ATTEMPTS):
                copies = 2 if self._random.random() < _RACING_SHARE else 1
                first = attempt == 0 and copies == 1
                tries = [self._attempt(call.key, first=first) for _ in range(copies)]
                # Of attempts that race, the one that says most about the key counts.
                call.last = min(
                    await asyncio.gather(*tries),
                    key=lambda booking: _WEIGHTS.index(booking.outcome),
                )
                if call.last.outcome is Outcome.RAN and timed:
                    await self._repeat_late(call)
                known = call.last.outcome is not Outcome.UNKNOWN
                if known or time.monotonic() > give_up_at:
                    return
                await asyncio.sleep(_PAUSE_S * 2**attempt)
        finally:
            free.release()

    async def _repeat_late(self, call: _Call) -> None:
        """Send some calls again after their answer, as a confused caller does."""
        if self._random.random() >= _LATE_SHARE:
            return
        await asyncio.sleep(self._random.uniform(0.0, _LATEST_REPEAT_S))
        repeated = await self._attempt(call.key, first=False)
        if repeated.outcome is Outcome.NOT_RUN:
            call.last = repeated

    async def _attempt(self, key: str, *, first: bool) -> Booking:
        entry = self._random.choice(self._fleet.entries)
        return await self._fleet.book(
            key, entry=entry, timeout_s=_ATTEMPT_TIMEOUT_S, first=first
        )

    def _judge(self, seconds: float, runs: list[dict[str, object]]) -> LoadResult:
        ran = Counter(str(run["key"]) for run in runs)
        unknown = [call for call in self._calls if call.last.outcome is Outcome.UNKNOWN]
        return LoadResult(
            calls=len(self._calls),
            seconds=seconds,
            faults=self._faults.counts,
            outcomes=Counter(call.last.outcome for call in self._calls),
            kinds_of_unknown=Counter(call.last.kind for call in unknown),
            keys_with_two_runs=[key for key, times in ran.items() if times > 1],
            false_not_run=[
                call.key
                for call in self._calls
                if call.last.outcome is Outcome.NOT_RUN and call.key in ran
            ],
            ran_without_run=[
                call.key
                for call in self._calls
                if call.last.outcome is Outcome.RAN and call.key not in ran
            ],
            avoidable_unknown=sum(call.key not in ran for call in unknown),
        )
