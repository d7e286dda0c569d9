"""Number of streams that a lock-step engine carries within the allowed pause."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineyard.core.clock import Clock
    from sardineyard.forwarding.config import EngineProfile

# Part of the allowed pause that the passes of late may take on average; the rest is
# for the prompts that one of them reads.
_USED_PAUSE = 0.85
# Time constant of the means: several passes, but shorter than a flood needs to fill
# the engine.
_SMOOTHING_S = 0.4
# Weight of one pause among those of the same moment.
_LEAST_WEIGHT = 0.05
# Pauses above this multiple of the target are stalls, which fewer streams do not cure.
_MOST_TARGETS = 2.0
# Pauses older than this say nothing about the passes of now.
_STALE_S = 1.5
# Multiple of the allowed pause that a pass with the fewest streams has to take before
# the limit is given up: a rank that is slowed twelve times, not a shift of popularity.
_HOPELESS = 1.5
# Time for which it has to take so long: a map follows a shift within a second.
_HOPELESS_FOR_S = 2.0
# Part of the slots that is always used, so that new pauses are measured.
_LEAST_SHARE = 0.3
# Share of the slots in use before anything was measured: what a group with its first
# map carries on time.
_FIRST_SHARE = 0.4


class PassModel:
    """Predict the pause between events from the streams that run on each rank.

    The engine publishes how long a pass of level ranks takes without prompts. The
    measured passes are longer by a factor that hardly depends on the streams: it comes
    from the skew of the expert map, slow ranks and the prompts that are read.
    """

    def __init__(self, clock: Clock, engine: EngineProfile) -> None:
        self._clock = clock
        self._slots = engine.slots
        context_k = (engine.usual_prompt_tokens + engine.usual_answer_tokens / 2) / 1000
        step_ms_per_stream = (
            engine.step_ms_per_sequence + context_k * engine.step_ms_per_context_k
        )
        self._empty_s = engine.steps_per_pass * engine.step_ms / 1000
        self._per_stream_s = engine.steps_per_pass * step_ms_per_stream / 1000
        self._pause_s = 0.0
        self._factor = 0.0
        self._measured_at = float("-inf")
        self._heard_factor = 0.0
        self._heard_at = float("-inf")
        # Since when passes are too long with any number of streams.
        self._hopeless_since: float | None = None

    @property
    def pause_s(self) -> float:
        """Return the mean pause of late, in seconds; zero before the first one."""
        return self._pause_s

    @property
    def measured_factor(self) -> float | None:
        """Return the measured over the published passes; None without any of late."""
        is_fresh = self._clock.now() - self._measured_at <= _STALE_S
        return self._factor if is_fresh and self._factor > 0 else None

    @property
    def _least_streams(self) -> float:
        return self._slots * _LEAST_SHARE

    @property
    def _shortest_s(self) -> float:
        """Return the time of a pass with the fewest streams, in seconds."""
        return self._factor * (self._empty_s + self._least_streams * self._per_stream_s)

    def hear(self, factor: float) -> None:
        """Take in the factor that other processes have measured.

        It counts while this process measures none: it would wait for a place until its
        first stream, and have no stream for as long as it waits.
        """
        self._heard_factor, self._heard_at = factor, self._clock.now()

    def observe(
        self, pause_s: float, streams_per_rank: float, target_pause_s: float
    ) -> None:
        """Take in one pause between two events."""
        now = self._clock.now()
        age = now - self._measured_at
        self._measured_at = now
        if target_pause_s > 0:
            pause_s = min(pause_s, _MOST_TARGETS * target_pause_s)
        published_s = self._empty_s + streams_per_rank * self._per_stream_s
        weight = min(1.0, _LEAST_WEIGHT + age / _SMOOTHING_S)
        self._pause_s += weight * (pause_s - self._pause_s)
        self._factor += weight * (pause_s / published_s - self._factor)
        if target_pause_s <= 0 or self._shortest_s <= _HOPELESS * target_pause_s:
            self._hopeless_since = None
        elif self._hopeless_since is None:
            self._hopeless_since = now

    def allows_on_time(self, allowed_pause_s: float) -> bool:
        """Return whether pauses can be short enough, with few streams at least."""
        return self.measured_factor is None or self._shortest_s <= allowed_pause_s

    def streams_per_rank(self, allowed_pause_s: float) -> float:
        """Return the streams per rank at which pauses stay below the allowed one."""
        now = self._clock.now()
        factor, since = self.measured_factor, self._hopeless_since
        if factor is None:
            if now - self._heard_at > _STALE_S:
                return self._slots * _FIRST_SHARE
            factor, since = self._heard_factor, None
        if self._per_stream_s <= 0 or factor <= 0:
            return self._slots
        pass_s = _USED_PAUSE * allowed_pause_s / factor
        streams = (pass_s - self._empty_s) / self._per_stream_s
        if since is not None and now - since > _HOPELESS_FOR_S:
            # Every stream is late however few there are, so as many as possible run.
            return self._slots
        return min(self._slots, max(self._least_streams, streams))
