"""Number of streams that a lock-step engine can run within the target event gap."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.forwarding.config import EngineProfile

# Fraction of the maximum event gap that recent decode passes may take on average; the
# rest is headroom for a pass in which a rank also reads prompts.
_MAX_MEAN_GAP_FRACTION = 0.85
# Time constant of the moving means, in seconds: several decode passes, but shorter than
# a burst of requests needs to fill the engine.
_SMOOTHING_S = 0.4
# Weight of a gap measured at the same moment as another one; it grows with the time
# since the previous measurement.
_MIN_WEIGHT = 0.05
# Gaps are capped at this multiple of the target: longer ones are stalls, which fewer
# streams do not shorten.
_MAX_GAP_TARGETS = 2.0
# Age from which measurements are ignored, in seconds: they say nothing about the
# current passes.
_STALE_S = 1.5
# The target gap is unattainable if a decode pass with the minimum number of streams
# takes longer than this multiple of it. A rank that is slowed twelvefold exceeds this,
# a shift of expert popularity does not.
_UNATTAINABLE_TARGETS = 1.5
# Seconds for which the gap must be unattainable before the limit on streams is lifted;
# the expert map adapts to a popularity shift within a second.
_UNATTAINABLE_FOR_S = 2.0
# Minimum fraction of the slots in use, so that event gaps continue to be measured.
_MIN_SLOT_FRACTION = 0.3
# Fraction of the slots in use before any measurement: the load that a group serves on
# time with its first expert map.
_INITIAL_SLOT_FRACTION = 0.4


class PassModel:
    """Predicts the gap between the events of a stream from the streams per rank.

    The engine profile gives the nominal time of a decode pass, with balanced ranks and
    without prompts. Measured passes are longer by a factor that hardly depends on the
    number of streams: it comes from the skew of the expert map, from slow ranks and
    from the prompts that are read.
    """

    def __init__(self, clock: Clock, engine: EngineProfile) -> None:
        self._clock = clock
        self._slots = engine.slots
        context_k = (
            engine.typical_prompt_tokens + engine.typical_output_tokens / 2
        ) / 1000
        step_ms_per_stream = (
            engine.step_ms_per_sequence + context_k * engine.step_ms_per_context_k
        )
        self._base_pass_s = engine.steps_per_pass * engine.step_ms / 1000
        self._pass_s_per_stream = engine.steps_per_pass * step_ms_per_stream / 1000
        self._mean_gap_s = 0.0
        self._factor = 0.0
        self._measured_at = float("-inf")
        self._peer_factor = 0.0
        self._peer_factor_at = float("-inf")
        # Time since which the target gap is unattainable with any number of streams.
        self._unattainable_since: float | None = None

    @property
    def pause_s(self) -> float:
        """Return the recent mean event gap, in seconds; zero before the first."""
        return self._mean_gap_s

    @property
    def measured_factor(self) -> float | None:
        """Return the ratio of measured to nominal pass time; None if not recent."""
        is_fresh = self._clock.now() - self._measured_at <= _STALE_S
        return self._factor if is_fresh and self._factor > 0 else None

    @property
    def _min_streams_per_rank(self) -> float:
        return self._slots * _MIN_SLOT_FRACTION

    @property
    def _min_pass_s(self) -> float:
        """Return the pass time with the minimum number of streams, in seconds."""
        return self._factor * (
            self._base_pass_s + self._min_streams_per_rank * self._pass_s_per_stream
        )

    def set_peer_factor(self, factor: float) -> None:
        """Set the factor that other processes have measured.

        It is used while this process has no measurement of its own. Without it, a
        process without streams might grant no slot, and so never get a measurement.
        """
        self._peer_factor, self._peer_factor_at = factor, self._clock.now()

    def observe(
        self, gap_s: float, streams_per_rank: float, target_gap_s: float
    ) -> None:
        """Record the gap between two events of a stream."""
        now = self._clock.now()
        age = now - self._measured_at
        self._measured_at = now
        if target_gap_s > 0:
            gap_s = min(gap_s, _MAX_GAP_TARGETS * target_gap_s)
        nominal_s = self._base_pass_s + streams_per_rank * self._pass_s_per_stream
        weight = min(1.0, _MIN_WEIGHT + age / _SMOOTHING_S)
        self._mean_gap_s += weight * (gap_s - self._mean_gap_s)
        self._factor += weight * (gap_s / nominal_s - self._factor)
        if (
            target_gap_s <= 0
            or self._min_pass_s <= _UNATTAINABLE_TARGETS * target_gap_s
        ):
            self._unattainable_since = None
        elif self._unattainable_since is None:
            self._unattainable_since = now

    def can_meet_gap(self, max_event_gap_s: float) -> bool:
        """Return whether the gap can be met with the minimum number of streams."""
        return self.measured_factor is None or self._min_pass_s <= max_event_gap_s

    def streams_per_rank(self, max_event_gap_s: float) -> float:
        """Return the streams per rank up to which event gaps stay below the maximum."""
        now = self._clock.now()
        factor, since = self.measured_factor, self._unattainable_since
        if factor is None:
            if now - self._peer_factor_at > _STALE_S:
                return self._slots * _INITIAL_SLOT_FRACTION
            factor, since = self._peer_factor, None
        if self._pass_s_per_stream <= 0 or factor <= 0:
            return self._slots
        pass_s = _MAX_MEAN_GAP_FRACTION * max_event_gap_s / factor
        streams = (pass_s - self._base_pass_s) / self._pass_s_per_stream
        if since is not None and now - since > _UNATTAINABLE_FOR_S:
            # Streams are late however few there are, so no slot is left unused.
            return self._slots
        return min(self._slots, max(self._min_streams_per_rank, streams))
