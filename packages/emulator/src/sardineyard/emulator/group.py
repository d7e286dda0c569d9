"""A group of ranks whose passes take as long as the engine publishes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sardineyard.experts.leveling import first_layout, mean_skew

if TYPE_CHECKING:
    from random import Random

    from sardineyard.core.ids import RankIndex
    from sardineyard.emulator.days import Group, Popularity
    from sardineyard.experts.group import Layout
    from sardineyard.experts.leveling import GroupShape


@dataclass(slots=True)
class Stream:
    """Hold one stream that a rank writes."""

    ticket: int
    gateway: int
    rank: RankIndex
    prompt_tokens: float
    events_left: int
    placed_at: float
    # A stream takes part from the pass that begins after it was placed.
    has_joined: bool = False
    first_at: float | None = None
    last_at: float = 0.0
    longest_pause_s: float = 0.0


class EmulatedGroup:
    """Hold the streams of all ranks, the map in use and what is popular."""

    def __init__(
        self, group: Group, popularity: Popularity, shape: GroupShape, rng: Random
    ) -> None:
        self._group = group
        self._popularity = popularity
        self._shape = shape
        self._rng = rng
        self._common = [self._draw() for _ in range(group.sets)]
        self._chosen = self._common
        self.streams: dict[int, Stream] = {}
        self.layout: Layout = first_layout(shape)
        self.counters = [0] * (group.sets * group.experts)
        self.speeds = [1.0] * group.ranks
        self.shift()

    @property
    def skew(self) -> float:
        """Return the skew of the map in use under the popularity of now."""
        loads = [load for part in self._chosen for load in part]
        return mean_skew(self._shape, self.layout, loads, self.speeds)

    def shift(self) -> None:
        """Make other experts popular."""
        part = self._popularity.shifted_part
        self._chosen = [
            [
                part * new + (1 - part) * old
                for new, old in zip(self._draw(), common, strict=True)
            ]
            for common in self._common
        ]

    def pass_s(self) -> float:
        """Return how long the pass takes that has begun, in seconds."""
        group = self._group
        share = group.expert_share
        # Work for tokens; experts do a share of it, the rank itself the rest.
        work_ms = [
            group.steps_per_pass * group.step_ms_per_stream * self._streams_at(rank)
            + self._prompt_tokens_at(rank) / group.prompt_tokens_per_ms
            for rank in range(group.ranks)
        ]
        fixed_ms = group.steps_per_pass * group.step_ms
        own_ms = max(
            (fixed_ms + (1 - share) * work) / speed
            for work, speed in zip(work_ms, self.speeds, strict=True)
        )
        shared_ms = share * sum(work_ms) / sum(self.speeds) * self.skew
        return (own_ms + shared_ms) / 1000

    def begin_pass(self) -> None:
        """Let the streams take part that were placed since the last pass began."""
        for stream in self.streams.values():
            stream.has_joined = True

    def end_pass(self, now: float) -> list[Stream]:
        """Write one event of each stream; return the streams that wrote one."""
        joined = [stream for stream in self.streams.values() if stream.has_joined]
        self._count(len(joined))
        for stream in joined:
            if stream.first_at is None:
                stream.first_at = now
            else:
                pause_s = now - stream.last_at
                stream.longest_pause_s = max(stream.longest_pause_s, pause_s)
            stream.last_at = now
            stream.events_left -= 1
        return joined

    def _streams_at(self, rank: int) -> int:
        return sum(
            stream.rank == rank and stream.has_joined
            for stream in self.streams.values()
        )

    def _prompt_tokens_at(self, rank: int) -> float:
        return sum(
            stream.prompt_tokens
            for stream in self.streams.values()
            if stream.rank == rank and stream.has_joined and stream.first_at is None
        )

    def _count(self, streams: int) -> None:
        tokens = streams * self._group.steps_per_pass
        choices = tokens * self._popularity.choices_per_token
        index = 0
        for part in self._chosen:
            for share in part:
                mean = choices * share
                # A normal distribution stands in for many independent choices.
                drawn = self._rng.gauss(mean, mean**0.5)
                self.counters[index] += max(0, round(drawn))
                index += 1

    def _draw(self) -> list[float]:
        exponent = self._popularity.exponent
        weights = [1 / (place + 1) ** exponent for place in range(self._group.experts)]
        self._rng.shuffle(weights)
        return [weight / sum(weights) for weight in weights]
