"""Quarantine of requests that crash the upstreams that run them.

Requests are recognised by traits, because the requests that crash upstreams may differ
in all but one part of their prompt. Processes state their findings to each other. No
finding of a single process makes another one refuse a trait, so a faulty process cannot
stop sound requests.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType, TypeVar

from sardineyard.core.clock import deadline_after, remaining
from sardineyard.forwarding.traits import Finding, TraitKind, TraitStatement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineyard.core.clock import Clock, Deadline
    from sardineyard.forwarding.traits import RefusedTraits, RequestTraits, Trait

Key = TypeVar("Key")
Value = TypeVar("Value")

# Address of the host of another process, as the network reports it.
PeerHost = NewType("PeerHost", str)

# Time for which a crash counts. After it, a trait is tried again.
QUARANTINE_S = 600.0
# Age up to which a success contradicts the crashes that other processes state. It is
# short, because a part may begin to crash upstreams after it was sound.
_RECENT_SUCCESS_S = 15.0
# Time for which a statement that a trait is refused holds. It is repeated twice a
# second while it is true.
_REFUSAL_VALIDITY_S = 5.0
# Maximum number of statements that are sent, and kept of each other process.
MAX_STATEMENTS = 48
_MAX_PEERS = 1_000
_MAX_SUCCESSES = 5_000
_MAX_CRASHES = 1_000
# Crashes from which a trait is refused. Every request that ran on a crashed upstream is
# counted, whereas prompt parts with a success are not, so they need fewer crashes.
_CRASH_LIMITS = {TraitKind.PROMPT_PART: 2, TraitKind.REQUEST: 3}
# Maximum time in seconds between the crashes that processes state of one request for
# these to count as one: an event that ends several upstreams, such as the loss of a
# failure domain, is noticed by all processes at almost the same time.
_SAME_EVENT_S = 0.3


@dataclass(slots=True)
class _Crashes:
    # Times at which the crashes since the last success were counted.
    times: list[float]
    expires: Deadline
    companions: frozenset[Trait]


@dataclass(frozen=True, slots=True)
class _Claim:
    finding: Finding
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
        self._claims: OrderedDict[PeerHost, OrderedDict[Trait, _Claim]] = OrderedDict()

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
        """Return the traits that this or another process has a finding about."""
        known = dict.fromkeys(self._crashes)
        for claims in self._claims.values():
            known |= dict.fromkeys(claims)
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
            may_change |= has_finding and (is_first or self.crash_count(trait) > 0)
            if has_finding or trait.kind is TraitKind.PROMPT_PART:
                _put(self._successes, trait, now, _MAX_SUCCESSES)
            if trait in self._crashes:
                self._crashes[trait].times.clear()
        return may_change

    def record_crash(
        self, traits: RequestTraits, call_started_at: float | None = None
    ) -> tuple[Trait, ...]:
        """Record that an upstream crashed on a request; return the suspected traits.

        The start of the call is given if equal requests may have been in flight too.
        """
        parts = self._suspected_parts(traits.prompt_parts)
        expires = deadline_after(self._clock, QUARANTINE_S)
        now = self._clock.now()
        for trait in (traits.request, *parts):
            is_part = trait.kind is TraitKind.PROMPT_PART
            companions = frozenset(parts) - {trait} if is_part else frozenset()
            known = self._crashes.get(trait)
            crashes = _Crashes([now], expires, companions)
            if known is not None and known.times:
                if (
                    not is_part
                    and call_started_at is not None
                    and call_started_at < known.times[-1]
                ):
                    # The call was in flight at the crash that was counted last, which
                    # may have ended its upstream as well.
                    continue
                crashes.times = [*known.times, now]
                crashes.companions &= known.companions
            _put(self._crashes, trait, crashes, _MAX_CRASHES)
        return (traits.request, *parts)

    def receive(self, peer: PeerHost, statements: Iterable[TraitStatement]) -> None:
        """Record the findings of another process, which replace its earlier ones."""
        claims = self._claims.get(peer, OrderedDict())
        for statement in statements:
            seconds = statement.expires_in_s
            if 0.0 < seconds <= QUARANTINE_S:
                expires = deadline_after(self._clock, seconds)
                claim = _Claim(statement.finding, expires, statement.companions)
                _put(claims, statement.trait, claim, MAX_STATEMENTS)
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
        """Return the number of own crashes, and of other processes by finding."""
        findings = self._findings(trait)
        return {
            "crashes": self.crash_count(trait),
            **{f"peers_{finding.value}": findings[finding] for finding in Finding},
        }

    def crash_count(self, trait: Trait) -> int:
        """Return the crashes that this process observed since the last success."""
        crashes = self._crashes.get(trait)
        return 0 if crashes is None else len(crashes.times)

    def witnesses(self, trait: Trait) -> int:
        """Return the own crashes and those that other processes state.

        Crashes of a request at almost the same time count as one. A part of a prompt
        is suspected on better evidence, so each process counts.
        """
        if trait.kind is TraitKind.PROMPT_PART:
            return self.crash_count(trait) + self._findings(trait)[Finding.CRASHED]
        crashes = self._crashes.get(trait)
        events = [] if crashes is None else list(crashes.times)
        for time in sorted(self._stated_crash_times(trait)):
            if all(abs(time - event) > _SAME_EVENT_S for event in events):
                events.append(time)
        return len(events)

    def _stated_crash_times(self, trait: Trait) -> list[float]:
        """Return when other processes saw their last crash of a trait."""
        return [
            claim.expires - QUARANTINE_S
            for claim in self._valid_claims(trait)
            if claim.finding is Finding.CRASHED
        ]

    def _suspected_parts(self, parts: tuple[Trait, ...]) -> tuple[Trait, ...]:
        """Return the parts that explain a crash best."""
        candidates = (
            [part for part in parts if part not in self._successes]
            or [part for part in parts if not self._is_recent(part)]
            or list(parts)
        )
        most = max(map(self.witnesses, candidates), default=0)
        return tuple(part for part in candidates if self.witnesses(part) == most)

    def _has_finding(self, trait: Trait) -> bool:
        return trait in self._crashes or any(
            trait in claims for claims in self._claims.values()
        )

    def _findings(self, trait: Trait) -> Counter[Finding]:
        """Return the number of other processes with each finding."""
        return Counter(claim.finding for claim in self._valid_claims(trait))

    def _valid_claims(self, trait: Trait) -> list[_Claim]:
        """Return what other processes state of a trait."""
        now = self._clock.now()
        claims = (claims.get(trait) for claims in self._claims.values())
        return [c for c in claims if c is not None and c.expires > now]

    def _is_refused(self, trait: Trait) -> bool:
        findings = self._findings(trait)
        if self._is_witnessed(trait, findings):
            return True
        # A process that has just started relies on those that refuse the trait.
        supporters = self.witnesses(trait) + findings[Finding.REFUSED]
        is_sound = trait in self._successes or findings[Finding.SOUND] > 0
        return not is_sound and supporters >= _CRASH_LIMITS[trait.kind]

    def _is_witnessed(self, trait: Trait, findings: Counter[Finding]) -> bool:
        """Return whether enough crashes were observed, here or by other processes."""
        sound = findings[Finding.SOUND] + (trait in self._successes)
        return self.witnesses(trait) >= _CRASH_LIMITS[trait.kind] + sound

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
        if crashes is not None and crashes.times:
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
        crashes = self._crashes.get(trait)
        if crashes is not None and crashes.times:
            left_s = remaining(self._clock, crashes.expires)
            return TraitStatement(
                trait, Finding.CRASHED, left_s, self._companions(trait)
            )
        if self._is_recent(trait):
            return TraitStatement(trait, Finding.SOUND, _RECENT_SUCCESS_S)
        if not self._is_witnessed(trait, self._findings(trait)):
            return None
        return TraitStatement(
            trait, Finding.REFUSED, _REFUSAL_VALIDITY_S, self._companions(trait)
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
