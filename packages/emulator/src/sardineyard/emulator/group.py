"""Emulated group of ranks, with decode pass times from its engine profile.

A decode pass is the sequence of steps that produces one event of each stream.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.experts.layout_plan import first_layout, mean_skew

if TYPE_CHECKING:
    from random import Random

    from sardineyard.core.ids import RankIndex
    from sardineyard.emulator.days import Group, Popularity
    from sardineyard.experts.group import Layout
    from sardineyard.experts.layout_plan import GroupShape


@dataclass(slots=True)
class Stream:
    """Stream that a rank generates for a request."""

    ticket: int
    gateway: int
    rank: RankIndex
    prompt_tokens: float
    events_left: int
    started_at: float
    # A stream joins the first decode pass that begins after the stream was started.
    has_joined: bool = False
    first_event_at: float | None = None
    last_event_at: float = 0.0
    max_event_gap_s: float = 0.0


class EmulatedGroup:
    """Streams of all ranks, the expert map in use and the popularity of experts."""

    def __init__(
        self, group: Group, popularity: Popularity, shape: GroupShape, rng: Random
    ) -> None:
        self._group = group
        self._popularity = popularity
        self._shape = shape
        self._rng = rng
        self._base_popularity = [self._draw_popularity() for _ in range(group.sets)]
        self._current_popularity = self._base_popularity
        self.streams: dict[int, Stream] = {}
        self.layout: Layout = first_layout(shape)
        self.counters = [0] * (group.sets * group.experts)
        self.speeds = [1.0] * group.ranks
        self.shift_popularity()

    @property
    def skew(self) -> float:
        """Return the largest rank time over the mean, at the current popularity."""
        loads = [load for set_loads in self._current_popularity for load in set_loads]
        return mean_skew(self._shape, self.layout, loads, self.speeds)

    def shift_popularity(self) -> None:
        """Draw other popular experts for a fraction of the choices."""
        fraction = self._popularity.shifted_part
        self._current_popularity = [
            [
                fraction * new + (1 - fraction) * old
                for new, old in zip(self._draw_popularity(), base, strict=True)
            ]
            for base in self._base_popularity
        ]

    def pass_s(self) -> float:
        """Return the duration of the current decode pass."""
        group = self._group
        share = group.expert_share
        # Time that grows with the tokens of a rank. The fraction `expert_share` of it
        # is spent on experts, whose load all ranks share, the rest on the rank itself.
        work_ms = [
            group.steps_per_pass
            * group.step_ms_per_stream
            * self._active_streams_at(rank)
            + self._pending_prompt_tokens_at(rank) / group.prompt_tokens_per_ms
            for rank in range(group.ranks)
        ]
        fixed_ms = group.steps_per_pass * group.step_ms
        rank_ms = max(
            (fixed_ms + (1 - share) * rank_work_ms) / speed
            for rank_work_ms, speed in zip(work_ms, self.speeds, strict=True)
        )
        expert_ms = share * sum(work_ms) / sum(self.speeds) * self.skew
        return (rank_ms + expert_ms) / 1000

    def begin_pass(self) -> None:
        """Let the streams join that were started since the previous pass began."""
        for stream in self.streams.values():
            stream.has_joined = True

    def end_pass(self, now: float) -> list[Stream]:
        """Produce one event of each stream in the pass and return these streams."""
        active = [stream for stream in self.streams.values() if stream.has_joined]
        self._add_expert_counts(len(active))
        for stream in active:
            if stream.first_event_at is None:
                stream.first_event_at = now
            else:
                event_gap_s = now - stream.last_event_at
                stream.max_event_gap_s = max(stream.max_event_gap_s, event_gap_s)
            stream.last_event_at = now
            stream.events_left -= 1
        return active

    def _active_streams_at(self, rank: int) -> int:
        return sum(
            stream.rank == rank and stream.has_joined
            for stream in self.streams.values()
        )

    def _pending_prompt_tokens_at(self, rank: int) -> float:
        return sum(
            stream.prompt_tokens
            for stream in self.streams.values()
            if stream.rank == rank
            and stream.has_joined
            and stream.first_event_at is None
        )

    def _add_expert_counts(self, streams: int) -> None:
        tokens = streams * self._group.steps_per_pass
        choices = tokens * self._popularity.choices_per_token
        index = 0
        for set_shares in self._current_popularity:
            for share in set_shares:
                mean = choices * share
                # Normal approximation of the sum of many independent choices.
                drawn = self._rng.gauss(mean, mean**0.5)
                self.counters[index] += max(0, round(drawn))
                index += 1

    def _draw_popularity(self) -> list[float]:
        exponent = self._popularity.exponent
        weights = [
            1 / (position + 1) ** exponent for position in range(self._group.experts)
        ]
        self._rng.shuffle(weights)
        return [weight / sum(weights) for weight in weights]
