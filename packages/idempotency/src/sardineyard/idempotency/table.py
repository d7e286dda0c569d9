"""The decisions of an agent about the keys that its upstream owns."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from types import MappingProxyType
from typing import TYPE_CHECKING

from sardineyard.core.clock import WallTime
from sardineyard.core.errors import ErrorKind, Outcome, RequestError
from sardineyard.idempotency.keys import TimedKey, created_at
from sardineyard.idempotency.lease import LeaseChange
from sardineyard.idempotency.messages import (
    AskPrevious,
    Join,
    KeyState,
    Refuse,
    Replay,
    Run,
    SurrenderAnswer,
    SurrenderQuestion,
    SurrenderState,
    Ticket,
)
from sardineyard.idempotency.ownership import Ownership
from sardineyard.idempotency.store import (
    MAX_ANSWER_BYTES,
    MAX_ENTRIES,
    Entry,
    KeyStore,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from sardineyard.core.clock import Clock
    from sardineyard.core.ids import Fingerprint, Incarnation, UpstreamId
    from sardineyard.idempotency.keys import ScopedKey
    from sardineyard.idempotency.lease import AddressLease, Renewal
    from sardineyard.idempotency.messages import (
        Attempt,
        Decision,
        Finish,
    )


@dataclass(frozen=True, slots=True)
class KeyLimits:
    """Hold the bounds that the configuration document sets."""

    max_clock_skew_s: float = 1.0
    untimed_key_window_s: float = 60.0


_KNOWN_STATES: Mapping[KeyState, SurrenderState] = MappingProxyType(
    {
        KeyState.RUNNING: SurrenderState.RUNNING,
        KeyState.RAN: SurrenderState.RAN,
        KeyState.UNKNOWN: SurrenderState.UNKNOWN,
        KeyState.SURRENDERED: SurrenderState.NEVER_RUNS,
    }
)


class KeyTable:
    """Decide for each attempt whether its call runs, joins, replays or is refused.

    An error with the outcome `not_run` is given only while it is certain that no
    process ran the key: the lease is held, the key is above the floor, it is not
    in the table, and every previous owner gave it up.
    """

    def __init__(
        self,
        clock: Clock,
        upstream: UpstreamId,
        lease: AddressLease,
        store: KeyStore | None = None,
    ) -> None:
        self._clock = clock
        self._upstream = upstream
        self._lease = lease
        self._store = store or KeyStore(MAX_ENTRIES, MAX_ANSWER_BYTES)
        self._limits = KeyLimits()
        self._ownership = Ownership()
        self._version = 0
        self._numbers = count(1)

    def follow(self, ownership: Ownership, limits: KeyLimits, version: int) -> None:
        """Use the upstream sets and limits of a newer document."""
        skew_grew = limits.max_clock_skew_s > self._limits.max_clock_skew_s
        # An owner in a set that is no longer listed cannot be asked any more, so the
        # keys that it may have run are refused by their age. The same holds for sets
        # in documents that this agent never saw.
        forgets = version != self._version + 1 or ownership.drops(self._ownership)
        self._limits = limits
        self._ownership = ownership
        self._version = version
        if skew_grew or forgets:
            self._raise_floor(self._lease.duration_s if skew_grew else 0.0)

    def confirm_lease(self, renewal: Renewal, answered: Incarnation) -> LeaseChange:
        """Take a peer's confirmation; a lease that is acquired raises the floor."""
        # An earlier incarnation accepted keys until its own lease ended, which was
        # at most one lease after this one took over the address.
        change = self._lease.confirm(renewal, answered)
        if change is LeaseChange.ACQUIRED:
            self._raise_floor(self._lease.duration_s)
        return change

    @property
    def accepts_new_keys(self) -> bool:
        """Return whether a timed key that is created now would be accepted."""
        return self._lease.held and self._clock.wall() > self.floor

    @property
    def lease_held(self) -> bool:
        """Return whether keyed calls may be accepted now."""
        return self._lease.held

    @property
    def floor(self) -> WallTime:
        """Return the creation time up to which unknown timed keys are refused."""
        return self._store.floor_of(TimedKey)

    @property
    def key_count(self) -> int:
        """Return the number of keys in memory."""
        return self._store.key_count

    def admit(self, attempt: Attempt) -> Decision:
        """Decide about an attempt that arrived."""
        entry = self._store.find(attempt.scoped)
        if entry is not None:
            return self._repeat(attempt, entry)
        place = self._ownership.place(attempt.scoped)
        refusal = (
            self._refuse_uncertain(attempt.scoped, self._clock.wall())
            or self._refuse_not_owner(place.owner)
            or self._refuse_late(attempt, certain=not place.previous)
        )
        if refusal is not None:
            return refusal
        ticket = Ticket(attempt.scoped, next(self._numbers))
        entry = self._new_entry(ticket, KeyState.RUNNING)
        entry.fingerprint = attempt.fingerprint
        entry.asked_owners = place.previous
        if not self._store.add(attempt.scoped, entry):
            kind = ErrorKind.KEY_UNCERTAIN if place.previous else ErrorKind.OVERLOADED
            return _refuse(kind)
        if not place.previous:
            return Run(ticket)
        question = SurrenderQuestion(attempt.scoped, entry.arrival)
        return AskPrevious(ticket, place.previous, question)

    def resolve(
        self, ticket: Ticket, answers: Collection[SurrenderAnswer]
    ) -> Run | Replay | Refuse:
        """Decide after all previous owners answered or were given up.

        The caller asks again while any of them is `running`.
        """
        entry = self._running(ticket)
        if entry is None:
            return _refuse(ErrorKind.KEY_UNCERTAIN)
        asked_for = entry.fingerprint
        for answer in answers:
            if answer.state is SurrenderState.RAN:
                if answer.fingerprint is not None:
                    entry.fingerprint = answer.fingerprint
                self._store.finish(ticket.scoped, KeyState.RAN, answer.answer)
                return _replay(entry, asked_for)
        states = [answer.state for answer in answers]
        if len(states) == len(entry.asked_owners) and all(
            state is SurrenderState.NEVER_RUNS for state in states
        ):
            return Run(ticket)
        # This agent did not start the call, so a later attempt may ask again.
        self._store.remove(ticket.scoped)
        return _refuse(ErrorKind.OWNER_UNCERTAIN, "a previous owner is uncertain")

    def start(self, ticket: Ticket, attempt: Attempt) -> Run | Refuse:
        """Check everything again immediately before the first byte."""
        entry = self._running(ticket)
        if entry is None:
            return _refuse(ErrorKind.KEY_UNCERTAIN)
        place = self._ownership.place(ticket.scoped)
        asked_all = set(place.previous) <= set(entry.asked_owners)
        refusal = (
            self._refuse_not_owner(place.owner if asked_all else None)
            or self._refuse_without_lease()
            or self._refuse_late(attempt, certain=True)
        )
        if refusal is None:
            return Run(ticket)
        self._store.remove(ticket.scoped)
        return refusal

    def finish(self, finish: Finish) -> None:
        """Record how a call ended; `not_run` forgets the key."""
        scoped = finish.ticket.scoped
        if self._running(finish.ticket) is None:
            return
        if finish.outcome is Outcome.RAN:
            self._store.finish(scoped, KeyState.RAN, finish.answer)
        elif finish.outcome is Outcome.UNKNOWN:
            self._store.finish(scoped, KeyState.UNKNOWN)
        else:
            self._store.remove(scoped)

    def surrender(self, question: SurrenderQuestion) -> SurrenderAnswer:
        """Give up a key for its new owner, or say what is known about it."""
        scoped = question.scoped
        entry = self._store.find(scoped)
        if entry is not None:
            state = _KNOWN_STATES[entry.state]
            return SurrenderAnswer(state, entry.answer, entry.fingerprint)
        # The asker's clock may be ahead of this one by the skew bound.
        asked = WallTime(question.arrival - self._limits.max_clock_skew_s)
        claimed = min(self._clock.wall(), asked)
        if self._refuse_uncertain(scoped, claimed) is not None:
            return SurrenderAnswer(SurrenderState.UNKNOWN)
        ticket = Ticket(scoped, next(self._numbers))
        if not self._store.add(scoped, self._new_entry(ticket, KeyState.SURRENDERED)):
            return SurrenderAnswer(SurrenderState.UNKNOWN)
        self._store.finish(scoped, KeyState.SURRENDERED)
        return SurrenderAnswer(SurrenderState.NEVER_RUNS)

    def _raise_floor(self, running_on_s: float) -> None:
        """Refuse the keys that others accepted until some seconds from now."""
        # The other's clock may be ahead of this one by the skew bound, and the key's
        # own clock ahead of that one by the same bound.
        skew = 2 * self._limits.max_clock_skew_s
        floor = self._clock.wall() + running_on_s + skew
        self._store.raise_floor(WallTime(floor))

    def _repeat(self, attempt: Attempt, entry: Entry) -> Decision:
        if entry.state is KeyState.RAN:
            return _replay(entry, attempt.fingerprint)
        if entry.fingerprint not in (None, attempt.fingerprint):
            return _refuse(ErrorKind.KEY_CONFLICT)
        if entry.state is KeyState.RUNNING:
            return Join(Ticket(attempt.scoped, entry.number))
        return _refuse(ErrorKind.KEY_UNCERTAIN, f"the call is {entry.state.value}")

    def _refuse_uncertain(self, scoped: ScopedKey, arrival: WallTime) -> Refuse | None:
        """Refuse a key that another incarnation may have run."""
        now = self._clock.wall()
        skew = self._limits.max_clock_skew_s
        created = created_at(scoped.key, arrival, self._limits.untimed_key_window_s)
        if created > now + 2 * skew:
            return _refuse(ErrorKind.KEY_INVALID, "its creation time is in the future")
        if created > now + skew:
            # An agent whose clock is ahead of this one may have accepted the key.
            return _refuse(ErrorKind.KEY_FORGOTTEN, "its creation time is ahead")
        if created <= self._store.floor_of(type(scoped.key)):
            return _refuse(ErrorKind.KEY_FORGOTTEN, "the key is below the floor")
        if not self._lease.held:
            return _refuse(ErrorKind.OWNER_UNCERTAIN, "the address lease is not held")
        return None

    def _refuse_not_owner(self, owner: UpstreamId | None) -> Refuse | None:
        return None if owner == self._upstream else _refuse(ErrorKind.NOT_OWNER)

    def _refuse_without_lease(self) -> Refuse | None:
        return None if self._lease.held else _refuse(ErrorKind.LEASE_EXPIRED)

    def _refuse_late(self, attempt: Attempt, certain: bool) -> Refuse | None:
        if attempt.incarnation != self._lease.incarnation:
            kind = ErrorKind.STALE_INCARNATION
        elif self._clock.now() >= attempt.deadline:
            kind = ErrorKind.DEADLINE_UNREACHABLE
        else:
            return None
        return _refuse(kind if certain else ErrorKind.KEY_UNCERTAIN, kind.value)

    def _new_entry(self, ticket: Ticket, state: KeyState) -> Entry:
        return Entry(state, ticket.number, self._clock.wall())

    def _running(self, ticket: Ticket) -> Entry | None:
        entry = self._store.find(ticket.scoped)
        if entry is None or entry.number != ticket.number:
            return None
        return entry if entry.state is KeyState.RUNNING else None


def _refuse(kind: ErrorKind, detail: str = "") -> Refuse:
    return Refuse(RequestError(kind, detail))


def _replay(entry: Entry, fingerprint: Fingerprint | None) -> Replay | Refuse:
    if entry.fingerprint != fingerprint:
        return _refuse(ErrorKind.KEY_CONFLICT)
    if entry.answer is None:
        return _refuse(ErrorKind.ANSWER_EVICTED)
    return Replay(entry.answer)
