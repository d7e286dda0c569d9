"""Crashes of upstreams that requests may have caused, and how many are independent."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from itertools import chain
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.ids import UpstreamIncarnation
    from sardineyard.forwarding.traits import Trait

# Time for which a crash counts. After it, what it was blamed on is tried again.
QUARANTINE_S = 600.0
# Maximum time in seconds between crashes of one request that may be the same event, if
# the start of the later call is not known: an event that ends several upstreams, such
# as the loss of a failure domain, is noticed by all processes at almost the same time.
_SAME_EVENT_S = 0.3
# Maximum delay in seconds with which statements usually arrive, and so the error of the
# times that they state.
_STATED_TIME_ERROR_S = 0.02


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of an upstream while it ran a request, on the clock of this process.

    Fields that are not known are None.
    """

    time: float
    request: Trait | None = None
    upstream: UpstreamIncarnation | None = None
    call_started_at: float | None = None


def count_separate(*observers: Sequence[Crash]) -> int:
    """Return how many times one request crashed upstreams in separate events.

    Crashes that one process observed are separate; those of two may be the same event.
    """
    separate: list[Crash] = []
    for crashes in observers:
        separate += [
            crash
            for crash in crashes
            if not any(_may_be_same_event(crash, other) for other in separate)
        ]
    return len(separate)


def count_requests(*observers: Sequence[Crash]) -> int:
    """Return how many requests it takes to explain the crashes of all processes.

    All requests that ran on one upstream as it crashed are suspects of the same crash,
    and one request explains all crashes of which it is a suspect.
    """
    suspects: dict[object, set[object]] = {}
    for index, crash in enumerate(chain.from_iterable(observers)):
        # A crash of which the upstream or the request is not known stands by itself.
        event = index if crash.upstream is None else crash.upstream
        request = index if crash.request is None else crash.request
        suspects.setdefault(event, set()).add(request)
    unexplained = list(suspects.values())
    count = 0
    while unexplained:
        [(cause, _)] = Counter(chain.from_iterable(unexplained)).most_common(1)
        unexplained = [requests for requests in unexplained if cause not in requests]
        count += 1
    return count


def most_telling(crashes: Sequence[Crash]) -> list[Crash]:
    """Return one crash of each upstream, the newest ones of different requests first.

    Of the requests that ran on an upstream, the one that crashed most is the most
    likely cause.
    """
    counts = Counter(crash.request for crash in crashes)
    of_upstream: dict[object, Crash] = {}
    for index, crash in enumerate(crashes):
        event = index if crash.upstream is None else crash.upstream
        other = of_upstream.get(event)
        if other is None or counts[crash.request] >= counts[other.request]:
            of_upstream[event] = crash
    causes = sorted(of_upstream.values(), key=lambda crash: -crash.time)
    newest = {crash.request: crash for crash in reversed(causes)}
    return sorted(causes, key=lambda crash: newest[crash.request] is not crash)


def _may_be_same_event(crash: Crash, other: Crash) -> bool:
    first, second = sorted((crash, other), key=lambda crash: crash.time)
    between_s = second.time - first.time
    if second.call_started_at is None:
        return between_s <= _SAME_EVENT_S
    # A call that started after an event was not in flight at it.
    was_in_flight = second.call_started_at < first.time - _STATED_TIME_ERROR_S
    return was_in_flight or between_s < _STATED_TIME_ERROR_S
