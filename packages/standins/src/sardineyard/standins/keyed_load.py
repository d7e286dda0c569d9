"""Load of calls with idempotency keys under faults, checked against recorded runs."""

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

_MAX_ATTEMPTS = 4
_ATTEMPT_TIMEOUT_S = 2.0
_RETRY_DELAY_S = 0.3
_UNTIMED_SHARE = 0.05
_RACING_SHARE = 0.1
# Fraction of the calls that are retried after a response, and the longest delay of such
# a retry: another incarnation or another upstream may own the key by then.
_LATE_RETRY_SHARE = 0.1
_MAX_LATE_RETRY_DELAY_S = 5.0
# Keys without a creation time are retried until this long before their window ends.
_UNTIMED_MARGIN_S = 2.0
_OUTCOME_PRECEDENCE = (Outcome.RAN, Outcome.UNKNOWN, Outcome.NOT_RUN)


@dataclass(slots=True)
class _Call:
    """Call of a caller with the latest result for its key."""

    key: str
    last_result: Booking = field(default_factory=lambda: Booking(Outcome.UNKNOWN))


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Results of one load run."""

    calls: int
    seconds: float
    faults: Counter[str]
    outcomes: Counter[Outcome]
    unknown_kinds: Counter[str]
    keys_with_two_runs: list[str]
    # Keys whose last result was "not run", although a run was recorded before or after.
    false_not_run: list[str]
    ran_without_run: list[str]
    unknown_without_run: int

    @property
    def is_consistent(self) -> bool:
        """Return whether each key ran at most once and as reported to its caller."""
        return not (
            self.keys_with_two_runs or self.false_not_run or self.ran_without_run
        )

    def report_lines(self) -> list[str]:
        """Return the results as lines of text."""
        counts = ", ".join(f"{each.value} {self.outcomes[each]}" for each in Outcome)
        return [
            f"calls: {self.calls} in {self.seconds:.0f} s",
            f"faults: {dict(self.faults)}",
            f"keys with two runs: {len(self.keys_with_two_runs)}",
            f"keys reported not_run that ran: {len(self.false_not_run)}",
            f"keys reported ran without a run: {len(self.ran_without_run)}",
            f"last outcome of each call: {counts}",
            f"unknown outcome without a recorded run: {self.unknown_without_run}",
            f"error kinds of unknown calls: {dict(self.unknown_kinds.most_common())}",
        ]


class KeyedLoad:
    """Load generator that sends bookings of several callers during fault injection."""

    def __init__(self, fleet: KeyedFleet, seed: int, callers: int = 64) -> None:
        self._fleet = fleet
        self._random = Random(seed)
        self._faults = KeyedFaults(fleet, Random(seed + 1))
        self._callers = callers
        self._calls: list[_Call] = []

    async def run(self, count: int, per_s: float) -> LoadResult:
        """Send a number of calls at a fixed rate and check their results."""
        started = time.monotonic()
        faults = asyncio.create_task(self._faults.run())
        free_callers = asyncio.Semaphore(self._callers)
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                send_at = started + number / per_s
                await asyncio.sleep(max(0.0, send_at - time.monotonic()))
                await free_callers.acquire()
                group.create_task(self._call(free_callers))
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        return self._evaluate(time.monotonic() - started, await self._fleet.runs())

    async def _call(self, free_callers: asyncio.Semaphore) -> None:
        timed = self._random.random() >= _UNTIMED_SHARE
        call = _Call(new_key() if timed else uuid4().hex)
        self._calls.append(call)
        retry_until = time.monotonic() + (
            60.0 if timed else UNTIMED_WINDOW_S - _UNTIMED_MARGIN_S
        )
        try:
            for attempt in range(_MAX_ATTEMPTS):
                parallel_attempts = 2 if self._random.random() < _RACING_SHARE else 1
                first = attempt == 0 and parallel_attempts == 1
                attempts = [
                    self._attempt(call.key, first=first)
                    for _ in range(parallel_attempts)
                ]
                # "Not run" holds for one of the concurrent attempts only, so any other
                # result takes precedence.
                call.last_result = min(
                    await asyncio.gather(*attempts),
                    key=lambda booking: _OUTCOME_PRECEDENCE.index(booking.outcome),
                )
                if call.last_result.outcome is Outcome.RAN and timed:
                    await self._retry_late(call)
                is_known = call.last_result.outcome is not Outcome.UNKNOWN
                if is_known or time.monotonic() > retry_until:
                    return
                await asyncio.sleep(_RETRY_DELAY_S * 2**attempt)
        finally:
            free_callers.release()

    async def _retry_late(self, call: _Call) -> None:
        """Retry some calls after a response, like a faulty caller."""
        if self._random.random() >= _LATE_RETRY_SHARE:
            return
        await asyncio.sleep(self._random.uniform(0.0, _MAX_LATE_RETRY_DELAY_S))
        booking = await self._attempt(call.key, first=False)
        if booking.outcome is Outcome.NOT_RUN:
            call.last_result = booking

    async def _attempt(self, key: str, *, first: bool) -> Booking:
        entry = self._random.choice(self._fleet.entries)
        return await self._fleet.book(
            key, entry=entry, timeout_s=_ATTEMPT_TIMEOUT_S, first=first
        )

    def _evaluate(self, seconds: float, runs: list[dict[str, object]]) -> LoadResult:
        runs_by_key = Counter(str(run["key"]) for run in runs)
        unknown = [
            call for call in self._calls if call.last_result.outcome is Outcome.UNKNOWN
        ]
        return LoadResult(
            calls=len(self._calls),
            seconds=seconds,
            faults=self._faults.counts,
            outcomes=Counter(call.last_result.outcome for call in self._calls),
            unknown_kinds=Counter(call.last_result.kind for call in unknown),
            keys_with_two_runs=[
                key for key, count_of_runs in runs_by_key.items() if count_of_runs > 1
            ],
            false_not_run=[
                call.key
                for call in self._calls
                if call.last_result.outcome is Outcome.NOT_RUN
                and call.key in runs_by_key
            ],
            ran_without_run=[
                call.key
                for call in self._calls
                if call.last_result.outcome is Outcome.RAN
                and call.key not in runs_by_key
            ],
            unknown_without_run=sum(call.key not in runs_by_key for call in unknown),
        )
