"""Which rebalancer coordinates the group, and with which fencing number."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardineyard.core.ids import FencingNumber

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.rebalancer.local_rank import LocalRank

_logger = logging.getLogger(__name__)

# Silence after which the coordinator is taken as gone, with a step for each rank, so
# that the next one is the only one to take over. A held group stands still meanwhile.
_TAKEOVER_S = 0.9
_TAKEOVER_STEP_S = 0.2
_TAKEOVER_STEPS = 8
# A coordinator that was deposed leaves the group alone for this time.
_DEPOSED_S = 3.0
# Numbers that are tried one after the other. Terms double, so that few suffice after
# many coordinators; more refusals mean one that cannot be heard.
_MOST_RAISES = 8
# Ranks have a part of each fencing number to themselves.
_FENCE_PER_TERM = 1 << 12
_LARGEST_TERM = 1 << 40


class Leadership:
    """Take over from a silent coordinator and step down before a newer one."""

    def __init__(self, local: LocalRank, clock: Clock) -> None:
        self._local = local
        self._clock = clock
        self._fence: FencingNumber | None = None
        self._term = 0
        self._deposed_until = 0.0
        self._raises = 0

    @property
    def fence(self) -> FencingNumber | None:
        """Return the number of this process; None where another one coordinates."""
        return self._fence

    async def take_over(self) -> bool:
        """Become the coordinator if the last one is silent; return whether so."""
        now = self._clock.now()
        report = await self._local.refresh()
        if report is None or not report.is_open or now < self._deposed_until:
            return False
        patience = _TAKEOVER_S + _TAKEOVER_STEP_S * min(report.rank, _TAKEOVER_STEPS)
        if self._local.coordinator_silent_s < patience:
            return False
        known_term = self._local.known_fence // _FENCE_PER_TERM
        self._term = max(self._term, known_term) + 1
        self._fence = FencingNumber(self._term * _FENCE_PER_TERM + report.rank)
        _logger.info(
            "this process coordinates the group now",
            extra={
                "event": "coordinator_started",
                "fence": self._fence,
                "silent_s": round(self._local.coordinator_silent_s, 3),
                "rank": report.rank,
                "epoch": report.epoch,
            },
        )
        return True

    def confirm(self) -> None:
        """Note that all ranks accepted the number."""
        self._raises = 0

    def raise_fence(self, reason: str) -> None:
        """Take a greater number, as ranks remember those of ended coordinators.

        A coordinator that lives is heard of through the rebalancers of its ranks.
        """
        assert self._fence is not None
        self._raises += 1
        if self._raises > _MOST_RAISES or self._local.known_fence > self._fence:
            self.step_down(reason)
            return
        previous, rank = self._fence, self._fence % _FENCE_PER_TERM
        self._term = min(_LARGEST_TERM, self._term * 2)
        self._fence = FencingNumber(self._term * _FENCE_PER_TERM + rank)
        _logger.info(
            "a rank knows a greater number, a still greater one is used",
            extra={
                "event": "fence_raised",
                "fence": self._fence,
                "previous_fence": previous,
                "reason": reason,
            },
        )

    def step_down(self, reason: str) -> None:
        """Leave the group to another coordinator."""
        _logger.info(
            "another process coordinates the group",
            extra={
                "event": "coordinator_stopped",
                "fence": self._fence,
                "reason": reason,
            },
        )
        # The next number has to exceed one that is not known here.
        self._term = min(_LARGEST_TERM, self._term * 2)
        self._fence = None
        self._raises = 0
        self._deposed_until = self._clock.now() + _DEPOSED_S
