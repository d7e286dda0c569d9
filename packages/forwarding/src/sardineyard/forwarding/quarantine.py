"""Quarantine of requests that crash the upstreams that run them.

Requests are recognised by traits, because the requests that crash upstreams may differ
in all but one part of their prompt. Processes state their findings to each other. No
finding of a single process makes another one refuse a trait, so a faulty process cannot
stop sound requests.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from itertools import chain
from math import inf
from typing import TYPE_CHECKING, NewType, TypeVar

from sardineyard.core.clock import deadline_after, remaining
from sardineyard.forwarding.claims import receive_claim, state_crashes
from sardineyard.forwarding.crashes import (
    QUARANTINE_S,
    Crash,
    count_requests,
    count_separate,
)
from sardineyard.forwarding.traits import Finding, TraitKind, TraitStatement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.core.ids import UpstreamIncarnation
    from sardineyard.forwarding.claims import Claim
    from sardineyard.forwarding.traits import RefusedTraits, RequestTraits, Trait

Key = TypeVar("Key")
Value = TypeVar("Value")

# Address of the host of another process, as the network reports it.
PeerHost = NewType("PeerHost", str)

# Age up to which a part with a success is not suspected if another part may be the
# cause. It is short, because a part may begin to crash upstreams after it was sound.
_RECENT_SUCCESS_S = 15.0
# Time for which a statement that a trait is refused holds. It is repeated twice a
# second while it is true.
_REFUSAL_VALIDITY_S = 5.0
# Maximum number of statements that are sent, and kept of each other process.
MAX_STATEMENTS = 48
# Processes that state a success of one trait: those with the latest ones. Hundreds may
# have had one, and each statement goes to all others.
MAX_SOUND_PROCESSES = 8
_MAX_PEERS = 1_000
_MAX_SUCCESSES = 5_000
_MAX_CRASHES = 1_000
# Maximum number of crashes that are kept of each trait.
_MAX_CRASHES_OF_TRAIT = 8
# Witnesses from which a trait is refused: crashes of a request, and different requests
# that crashed with a part. A part that is known to be sound may be shared by two bad
# requests.
_REQUEST_LIMIT = 3
_PART_LIMIT = 2
_SOUND_PART_LIMIT = 3
# Time in seconds for which a part is refused that was sound before. It cannot succeed
# while all processes refuse it, so it is tried again; each further request that crashes
# upstreams with it makes the refusal longer by the factor.
_FIRST_REFUSAL_S = 5.0
_REFUSAL_FACTOR = 4.0


@dataclass(slots=True)
class _Crashes:
    # Those since the last success, the newest one last.
    crashes: list[Crash]
    expires: Deadline
    companions: frozenset[Trait]


class Quarantine:
    """Findings of this process and of its peers, and the traits refused on them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Crashes that this process observed since the last success.
        self._crashes: OrderedDict[Trait, _Crashes] = OrderedDict()
        # Time of the last success.
        self._successes: OrderedDict[Trait, float] = OrderedDict()
        self._claims: OrderedDict[PeerHost, OrderedDict[Trait, Claim]] = OrderedDict()

    @property
    def refused(self) -> RefusedTraits:
        """Return the traits whose requests are refused."""
        self._drop_expired()
        return {
            trait: self._companions(trait)
            for trait in self.known_traits
            if self._is_refused(trait)
        }

    @property
    def known_traits(self) -> dict[Trait, None]:
        """Return the traits that this process or another one doubts."""
        known = dict.fromkeys(self._crashes)
        for claims in self._claims.values():
            known |= dict.fromkeys(t for t, c in claims.items() if c.is_adverse)
        return known

    def record_success(self, traits: Iterable[Trait]) -> bool:
        """Record that an upstream ran a request with the traits without a crash.

        Return whether the refused traits may have changed.
        """
        now = self._clock.now()
        may_change = False
        for trait in traits:
            has_finding = self._has_finding(trait)
            is_first = trait not in self._successes
            may_change |= has_finding and (is_first or self.witnesses(trait) > 0)
            if has_finding or trait.kind is TraitKind.PROMPT_PART:
                _put(self._successes, trait, now, _MAX_SUCCESSES)
            if trait in self._crashes:
                self._crashes[trait].crashes.clear()
        return may_change

    def record_crash(
        self,
        traits: RequestTraits,
        call_started_at: float | None = None,
        upstream: UpstreamIncarnation | None = None,
    ) -> tuple[Trait, ...]:
        """Record that an upstream crashed on a request; return the suspected traits.

        The start of the call is given if equal requests may have been in flight too.
        """
        parts = self._suspected_parts(traits.prompt_parts)
        expires = deadline_after(self._clock, QUARANTINE_S)
        crash = Crash(self._clock.now(), traits.request, upstream, call_started_at)
        for trait in (traits.request, *parts):
            is_part = trait.kind is TraitKind.PROMPT_PART
            companions = frozenset(parts) - {trait} if is_part else frozenset()
            known = self._crashes.get(trait)
            crashes = _Crashes([crash], expires, companions)
            if known is not None and known.crashes:
                if (
                    not is_part
                    and call_started_at is not None
                    and call_started_at < known.crashes[-1].time
                ):
                    # The call was in flight at the crash that was counted last, which
                    # may have ended its upstream as well.
                    continue
                kept = known.crashes[1 - _MAX_CRASHES_OF_TRAIT :]
                crashes.crashes = [*kept, crash]
                crashes.companions &= known.companions
            _put(self._crashes, trait, crashes, _MAX_CRASHES)
        return (traits.request, *parts)

    def receive(self, peer: PeerHost, statements: Iterable[TraitStatement]) -> None:
        """Record the findings of another process, which replace its earlier ones."""
        claims = self._claims.get(peer, OrderedDict())
        now = self._clock.now()
        for statement in statements:
            trait = statement.trait
            claim = receive_claim(statement, claims.get(trait), now)
            if claim is not None:
                _put(claims, trait, claim, MAX_STATEMENTS)
        if claims:
            _put(self._claims, peer, claims, _MAX_PEERS)

    def statements(self) -> tuple[TraitStatement, ...]:
        """Return the findings of this process, the most important ones first.

        Those that it observed itself precede others, parts of prompts precede requests,
        of which each crash may add several, and newer ones precede older ones.
        """
        self._drop_expired()
        newest = sorted(
            reversed(self._crashes),
            key=lambda trait: trait.kind is not TraitKind.PROMPT_PART,
        )
        own = [self._statement(trait) for trait in newest]
        others = [
            self._statement(trait)
            for trait in self.known_traits
            if trait not in self._crashes
        ]
        stated = [statement for statement in (*own, *others) if statement is not None]
        return tuple(stated[:MAX_STATEMENTS])

    def evidence(self, trait: Trait) -> dict[str, int]:
        """Return the numbers on which the refusal of a trait rests."""
        findings = self._findings(trait)
        return {
            "crashes": self.crash_count(trait),
            "witnesses": self.witnesses(trait),
            "limit": self._limit(trait),
            **{f"peers_{finding.value}": findings[finding] for finding in Finding},
        }

    def crash_count(self, trait: Trait) -> int:
        """Return the crashes that this process observed since the last success."""
        return len(self._own_crashes(trait))

    def witnesses(self, trait: Trait) -> int:
        """Return the crashes of a request, or the requests that crashed with a part.

        One request, however often it crashes upstreams, shows nothing about the parts
        of its prompt that other requests share.
        """
        # No other process counts for as much as suffices for a refusal.
        return self._count(trait, most_of_process=self._limit(trait) - 1)

    def _count(self, trait: Trait, *, most_of_process: int) -> int:
        """Return the witnesses if each other process counts for a number at most."""
        own, stated = self._own_crashes(trait), self._stated_crashes(trait)
        count = count_separate if trait.kind is TraitKind.REQUEST else count_requests
        bound = count(own) + sum(
            min(most_of_process, count(crashes)) for crashes in stated
        )
        return min(bound, count(own, *stated))

    def _own_crashes(self, trait: Trait) -> list[Crash]:
        known = self._crashes.get(trait)
        if known is None:
            return []
        now = self._clock.now()
        return [crash for crash in known.crashes if now - crash.time < QUARANTINE_S]

    def _stated_crashes(self, trait: Trait) -> list[list[Crash]]:
        """Return the crashes that each other process states, after any success here."""
        succeeded_at = self._successes.get(trait, -inf)
        return [
            [crash for crash in claim.crashes if crash.time > succeeded_at]
            for claim in self._valid_claims(trait)
            if claim.finding is Finding.CRASHED
        ]

    def _all_crashes(self, trait: Trait) -> list[Crash]:
        return [*self._own_crashes(trait), *chain(*self._stated_crashes(trait))]

    def _limit(self, trait: Trait) -> int:
        """Return the number of witnesses from which a trait is refused."""
        if trait.kind is TraitKind.REQUEST:
            return _REQUEST_LIMIT
        return _SOUND_PART_LIMIT if self._was_sound(trait) else _PART_LIMIT

    def _was_sound(self, trait: Trait) -> bool:
        """Return whether a success is known, before or after the crashes."""
        return trait in self._successes or any(
            claim.succeeded_at is not None for claim in self._valid_claims(trait)
        )

    def _contradictions(self, trait: Trait) -> int:
        """Return how many other processes had a success after the first crash."""
        crashes = self._all_crashes(trait)
        first = min((crash.time for crash in crashes), default=-inf)
        return sum(
            claim.succeeded_at is not None and claim.succeeded_at > first
            for claim in self._valid_claims(trait)
        )

    def _suspected_parts(self, parts: tuple[Trait, ...]) -> tuple[Trait, ...]:
        """Return the parts that explain a crash best."""
        candidates = (
            [part for part in parts if part not in self._successes]
            or [part for part in parts if not self._is_recent(part)]
            or list(parts)
        )
        # Parts with different limits are compared on the same evidence.
        counts = {part: self._count(part, most_of_process=1) for part in candidates}
        most = max(counts.values(), default=0)
        return tuple(part for part, count in counts.items() if count == most)

    def _has_finding(self, trait: Trait) -> bool:
        return trait in self._crashes or any(
            claim.is_adverse for claim in self._valid_claims(trait)
        )

    def _findings(self, trait: Trait) -> Counter[Finding]:
        """Return the number of other processes with each finding."""
        return Counter(claim.finding for claim in self._valid_claims(trait))

    def _valid_claims(self, trait: Trait) -> list[Claim]:
        """Return what other processes state of a trait."""
        now = self._clock.now()
        claims = (claims.get(trait) for claims in self._claims.values())
        return [c for c in claims if c is not None and c.expires > now]

    def _is_refused(self, trait: Trait) -> bool:
        if self._is_witnessed(trait):
            return True
        # A process that has just started relies on those that refuse the trait.
        supporters = self.witnesses(trait) + self._findings(trait)[Finding.REFUSED]
        is_sound = trait in self._successes or self._contradictions(trait) > 0
        return not is_sound and supporters >= self._limit(trait)

    def _is_witnessed(self, trait: Trait) -> bool:
        """Return whether enough crashes were observed, here or by other processes."""
        needed = self._limit(trait) + self._contradictions(trait)
        excess = self.witnesses(trait) - needed
        if excess < 0:
            return False
        if trait.kind is TraitKind.REQUEST or not self._was_sound(trait):
            return True
        last = max(crash.time for crash in self._all_crashes(trait))
        refusal_s = _FIRST_REFUSAL_S * _REFUSAL_FACTOR**excess
        return self._clock.now() < last + refusal_s

    def _companions(self, trait: Trait) -> frozenset[Trait]:
        """Return the parts without which a request with the trait is not refused.

        A part is left out if a crash here or two other processes show that it is none.
        """
        stated = [
            claims[trait].companions
            for claims in self._claims.values()
            if trait in claims and claims[trait].finding is not Finding.SOUND
        ]
        crashes = self._crashes.get(trait)
        if crashes is not None and crashes.crashes:
            candidates = crashes.companions
        else:
            candidates = frozenset().union(*stated)
        without = Counter(
            part for parts in stated for part in candidates if part not in parts
        )
        return frozenset(
            part
            for part in candidates
            if without[part] < 2 and part not in self._successes
        )

    def _is_recent(self, trait: Trait) -> bool:
        succeeded_at = self._successes.get(trait)
        return (
            succeeded_at is not None
            and self._clock.now() - succeeded_at < _RECENT_SUCCESS_S
        )

    def _statement(self, trait: Trait) -> TraitStatement | None:
        now = self._clock.now()
        succeeded_at = self._successes.get(trait)
        succeeded_s_ago = None if succeeded_at is None else now - succeeded_at
        if own := self._own_crashes(trait):
            return TraitStatement(
                trait,
                Finding.CRASHED,
                remaining(self._clock, self._crashes[trait].expires),
                self._companions(trait),
                state_crashes(own, now),
                succeeded_s_ago,
            )
        if self._is_witnessed(trait):
            return TraitStatement(
                trait,
                Finding.REFUSED,
                _REFUSAL_VALIDITY_S,
                self._companions(trait),
                succeeded_s_ago=succeeded_s_ago,
            )
        if succeeded_at is None or succeeded_s_ago is None:
            return None
        later = sum(
            claim.finding is Finding.SOUND
            and claim.succeeded_at is not None
            and claim.succeeded_at > succeeded_at
            for claim in self._valid_claims(trait)
        )
        if later >= MAX_SOUND_PROCESSES:
            return None
        return TraitStatement(
            trait,
            Finding.SOUND,
            QUARANTINE_S - succeeded_s_ago,
            succeeded_s_ago=succeeded_s_ago,
        )

    def _drop_expired(self) -> None:
        now = self._clock.now()
        for trait, crashes in list(self._crashes.items()):
            if crashes.expires <= now:
                del self._crashes[trait]
        for peer, claims in list(self._claims.items()):
            for trait, claim in list(claims.items()):
                if claim.expires <= now:
                    del claims[trait]
            if not claims:
                del self._claims[peer]
        while self._successes:
            trait, succeeded_at = next(iter(self._successes.items()))
            if now - succeeded_at < QUARANTINE_S:
                return
            del self._successes[trait]


def _put(
    entries: OrderedDict[Key, Value], key: Key, value: Value, capacity: int
) -> None:
    """Add the newest entry; drop the oldest one beyond the capacity."""
    entries[key] = value
    entries.move_to_end(key)
    if len(entries) > capacity:
        entries.popitem(last=False)
