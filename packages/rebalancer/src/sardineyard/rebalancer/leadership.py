"""Selection of the rebalancer that coordinates the group, and its fencing numbers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardineyard.core.ids import FencingNumber

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.rebalancer.local_rank import LocalRank

_logger = logging.getLogger(__name__)

# Silence after which rank 0 treats the coordinator as unavailable and takes over. Each
# further rank waits longer by the stagger, up to the maximum rank, so that only one
# takes over. A group whose next step is held makes no progress until then.
_TAKEOVER_AFTER_S = 0.9
_TAKEOVER_STAGGER_S = 0.2
_MAX_STAGGERED_RANK = 8
# Time after which a coordinator that was deposed may take over again.
_DEPOSED_BACKOFF_S = 3.0
# Maximum number of raises of the fencing number in a row. Each raise doubles the term,
# so that a few suffice even after many coordinators; more refusals mean that another
# coordinator is running that this process cannot reach.
_MAX_FENCE_RAISES = 8
# Number of fencing numbers in one term: one for each rank, so that no two ranks use the
# same number. Each takeover and each raise moves to a later term.
_FENCES_PER_TERM = 1 << 12
_MAX_TERM = 1 << 40


class Leadership:
    """Leader election: takes over from a silent coordinator, yields to a newer one."""

    def __init__(self, local: LocalRank, clock: Clock) -> None:
        self._local = local
        self._clock = clock
        self._fence: FencingNumber | None = None
        self._term = 0
        self._deposed_until = 0.0
        self._fence_raises = 0

    @property
    def fence(self) -> FencingNumber | None:
        """Return the fencing number in use, or None if another process coordinates."""
        return self._fence

    async def take_over(self) -> bool:
        """Become the coordinator if the last one is silent; return whether it did."""
        now = self._clock.now()
        report = await self._local.refresh()
        if report is None or not report.is_open or now < self._deposed_until:
            return False
        takeover_after_s = _TAKEOVER_AFTER_S + _TAKEOVER_STAGGER_S * min(
            report.rank, _MAX_STAGGERED_RANK
        )
        if self._local.coordinator_silent_s < takeover_after_s:
            return False
        known_term = self._local.known_fence // _FENCES_PER_TERM
        self._term = max(self._term, known_term) + 1
        self._fence = FencingNumber(self._term * _FENCES_PER_TERM + report.rank)
        _logger.info(
            "this process became the coordinator of the group",
            extra={
                "event": "coordinator_started",
                "fence": self._fence,
                "silent_s": round(self._local.coordinator_silent_s, 3),
                "rank": report.rank,
                "epoch": report.epoch,
            },
        )
        return True

    def reset_raises(self) -> None:
        """Reset the count of raises once all ranks accepted the fencing number."""
        self._fence_raises = 0

    def raise_fence(self, reason: str) -> None:
        """Use a greater fencing number; ranks remember those of stopped coordinators.

        The number of a running coordinator becomes known to the local rank through its
        calls. Step down in that case, or after too many raises in a row.
        """
        assert self._fence is not None
        self._fence_raises += 1
        if (
            self._fence_raises > _MAX_FENCE_RAISES
            or self._local.known_fence > self._fence
        ):
            self.step_down(reason)
            return
        previous, rank = self._fence, self._fence % _FENCES_PER_TERM
        self._term = min(_MAX_TERM, self._term * 2)
        self._fence = FencingNumber(self._term * _FENCES_PER_TERM + rank)
        _logger.info(
            "a rank has seen a greater fencing number; retrying with a higher one",
            extra={
                "event": "fence_raised",
                "fence": self._fence,
                "previous_fence": previous,
                "reason": reason,
            },
        )

    def step_down(self, reason: str) -> None:
        """Stop coordinating, as another process does."""
        _logger.info(
            "stopped coordinating the group: another process coordinates it",
            extra={
                "event": "coordinator_stopped",
                "fence": self._fence,
                "reason": reason,
            },
        )
        # The next number of this process must exceed one that is unknown here.
        self._term = min(_MAX_TERM, self._term * 2)
        self._fence = None
        self._fence_raises = 0
        self._deposed_until = self._clock.now() + _DEPOSED_BACKOFF_S
