"""Decisions of an agent about calls with keys that its upstream owns."""

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
    Join,
    KeyState,
    QueryPreviousOwners,
    Refuse,
    Replay,
    Run,
    SurrenderQuery,
    SurrenderResult,
    SurrenderState,
    Ticket,
)
from sardineyard.idempotency.ownership import Ownership
from sardineyard.idempotency.store import (
    MAX_KEYS,
    MAX_RESPONSE_BYTES,
    KeyRecord,
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
    """Limits for idempotency keys from the configuration document."""

    max_clock_skew_s: float = 1.0
    untimed_key_window_s: float = 60.0


_SURRENDER_STATES: Mapping[KeyState, SurrenderState] = MappingProxyType(
    {
        KeyState.RUNNING: SurrenderState.RUNNING,
        KeyState.RAN: SurrenderState.RAN,
        KeyState.UNKNOWN: SurrenderState.UNKNOWN,
        KeyState.SURRENDERED: SurrenderState.NEVER_RUNS,
    }
)


class KeyTable:
    """Table of keys that decides whether an attempt runs, joins, replays or is refused.

    A refusal has the outcome `not_run` only if it is certain that no process ran the
    key: the lease is held, the key was created after the history cutoff, it is not in
    the table, and every previous owner surrendered it.
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
        self._store = store or KeyStore(MAX_KEYS, MAX_RESPONSE_BYTES)
        self._limits = KeyLimits()
        self._ownership = Ownership()
        self._version = 0
        self._ticket_numbers = count(1)

    def configure(self, ownership: Ownership, limits: KeyLimits, version: int) -> None:
        """Apply the upstream sets and limits of a newer document."""
        skew_grew = limits.max_clock_skew_s > self._limits.max_clock_skew_s
        # The owners in a set that is no longer listed are not queried any more, so the
        # keys that they may have run are refused by age. The same holds for sets in
        # document versions that this agent has skipped.
        has_unknown_owners = version != self._version + 1 or ownership.lacks_sets_of(
            self._ownership
        )
        self._limits = limits
        self._ownership = ownership
        self._version = version
        if skew_grew or has_unknown_owners:
            self._raise_history_cutoff(self._lease.duration_s if skew_grew else 0.0)

    def confirm_lease(self, renewal: Renewal, reached: Incarnation) -> LeaseChange:
        """Apply a peer's confirmation; a newly acquired lease raises the cutoff."""
        # An earlier incarnation accepted keys until its own lease ended, at most one
        # lease duration after this incarnation took over the address.
        change = self._lease.confirm(renewal, reached)
        if change is LeaseChange.ACQUIRED:
            self._raise_history_cutoff(self._lease.duration_s)
        return change

    @property
    def accepts_new_keys(self) -> bool:
        """Return whether a timed key that was created now would be accepted."""
        return self._lease.held and self._clock.wall() > self.history_cutoff

    @property
    def lease_held(self) -> bool:
        """Return whether the address lease is held."""
        return self._lease.held

    @property
    def history_cutoff(self) -> WallTime:
        """Return the history cutoff: up to it, absent timed keys are refused."""
        return self._store.cutoff_of(TimedKey)

    @property
    def key_count(self) -> int:
        """Return the number of stored keys."""
        return self._store.key_count

    def admit(self, attempt: Attempt) -> Decision:
        """Decide what happens to an attempt on arrival."""
        record = self._store.find(attempt.scoped)
        if record is not None:
            return self._decide_retry(attempt, record)
        owners = self._ownership.owners_of(attempt.scoped)
        refusal = (
            self._refuse_if_maybe_run(attempt.scoped, self._clock.wall())
            or self._refuse_if_not_owner(owners.owner)
            or self._refuse_if_stale(attempt, is_not_run=not owners.previous)
        )
        if refusal is not None:
            return refusal
        ticket = Ticket(attempt.scoped, next(self._ticket_numbers))
        record = self._new_record(ticket, KeyState.RUNNING)
        record.fingerprint = attempt.fingerprint
        record.queried_owners = owners.previous
        if not self._store.add(attempt.scoped, record):
            kind = ErrorKind.KEY_UNCERTAIN if owners.previous else ErrorKind.OVERLOADED
            return _refuse(kind)
        if not owners.previous:
            return Run(ticket)
        query = SurrenderQuery(attempt.scoped, record.arrival)
        return QueryPreviousOwners(ticket, owners.previous, query)

    def resolve(
        self, ticket: Ticket, results: Collection[SurrenderResult]
    ) -> Run | Replay | Refuse:
        """Decide after all previous owners have replied or their queries have failed.

        As long as any of them reports `running`, the agent queries it again first.
        """
        record = self._running_record(ticket)
        if record is None:
            return _refuse(ErrorKind.KEY_UNCERTAIN)
        attempted = record.fingerprint
        for result in results:
            if result.state is SurrenderState.RAN:
                if result.fingerprint is not None:
                    record.fingerprint = result.fingerprint
                self._store.finish(ticket.scoped, KeyState.RAN, result.answer)
                return _replay(record, attempted)
        states = [result.state for result in results]
        if len(states) == len(record.queried_owners) and all(
            state is SurrenderState.NEVER_RUNS for state in states
        ):
            return Run(ticket)
        # This agent did not start the call, so a later attempt may query the owners.
        self._store.remove(ticket.scoped)
        return _refuse(ErrorKind.OWNER_UNCERTAIN, "a previous owner is uncertain")

    def start(self, ticket: Ticket, attempt: Attempt) -> Run | Refuse:
        """Check owner, lease and deadline again just before the first byte is sent."""
        record = self._running_record(ticket)
        if record is None:
            return _refuse(ErrorKind.KEY_UNCERTAIN)
        owners = self._ownership.owners_of(ticket.scoped)
        queried_all = set(owners.previous) <= set(record.queried_owners)
        refusal = (
            self._refuse_if_not_owner(owners.owner if queried_all else None)
            or self._refuse_without_lease()
            or self._refuse_if_stale(attempt, is_not_run=True)
        )
        if refusal is None:
            return Run(ticket)
        self._store.remove(ticket.scoped)
        return refusal

    def finish(self, finish: Finish) -> None:
        """Record the outcome of a call; `not_run` removes the key."""
        scoped = finish.ticket.scoped
        if self._running_record(finish.ticket) is None:
            return
        if finish.outcome is Outcome.RAN:
            self._store.finish(scoped, KeyState.RAN, finish.answer)
        elif finish.outcome is Outcome.UNKNOWN:
            self._store.finish(scoped, KeyState.UNKNOWN)
        else:
            self._store.remove(scoped)

    def surrender(self, query: SurrenderQuery) -> SurrenderResult:
        """Surrender a key to its new owner, or report what is known about its call."""
        scoped = query.scoped
        record = self._store.find(scoped)
        if record is not None:
            state = _SURRENDER_STATES[record.state]
            return SurrenderResult(state, record.response, record.fingerprint)
        # The new owner's clock may be ahead of this one by the maximum clock skew.
        earliest = WallTime(query.arrival - self._limits.max_clock_skew_s)
        arrival = min(self._clock.wall(), earliest)
        if self._refuse_if_maybe_run(scoped, arrival) is not None:
            return SurrenderResult(SurrenderState.UNKNOWN)
        ticket = Ticket(scoped, next(self._ticket_numbers))
        if not self._store.add(scoped, self._new_record(ticket, KeyState.SURRENDERED)):
            return SurrenderResult(SurrenderState.UNKNOWN)
        self._store.finish(scoped, KeyState.SURRENDERED)
        return SurrenderResult(SurrenderState.NEVER_RUNS)

    def _raise_history_cutoff(self, accepting_for_s: float) -> None:
        """Refuse the keys that other processes may accept for the given time."""
        # The clock of the other process may be ahead of this one by the maximum skew,
        # and the clock that created the key ahead of that one by the same amount.
        skew = 2 * self._limits.max_clock_skew_s
        cutoff = self._clock.wall() + accepting_for_s + skew
        self._store.raise_history_cutoff(WallTime(cutoff))

    def _decide_retry(self, attempt: Attempt, record: KeyRecord) -> Decision:
        if record.state is KeyState.RAN:
            return _replay(record, attempt.fingerprint)
        if record.fingerprint not in (None, attempt.fingerprint):
            return _refuse(ErrorKind.KEY_CONFLICT)
        if record.state is KeyState.RUNNING:
            return Join(Ticket(attempt.scoped, record.number))
        return _refuse(ErrorKind.KEY_UNCERTAIN, f"the call is {record.state.value}")

    def _refuse_if_maybe_run(
        self, scoped: ScopedKey, arrival: WallTime
    ) -> Refuse | None:
        """Refuse a key whose call may already have run, here or in another process."""
        now = self._clock.wall()
        skew = self._limits.max_clock_skew_s
        created = created_at(scoped.key, arrival, self._limits.untimed_key_window_s)
        if created > now + 2 * skew:
            return _refuse(ErrorKind.KEY_INVALID, "its creation time is in the future")
        if created > now + skew:
            # An agent whose clock is ahead of this one may have accepted the key.
            return _refuse(ErrorKind.KEY_FORGOTTEN, "its creation time is ahead")
        if created <= self._store.cutoff_of(type(scoped.key)):
            return _refuse(ErrorKind.KEY_FORGOTTEN, "the key is below the floor")
        if not self._lease.held:
            return _refuse(ErrorKind.OWNER_UNCERTAIN, "the address lease is not held")
        return None

    def _refuse_if_not_owner(self, owner: UpstreamId | None) -> Refuse | None:
        return None if owner == self._upstream else _refuse(ErrorKind.NOT_OWNER)

    def _refuse_without_lease(self) -> Refuse | None:
        return None if self._lease.held else _refuse(ErrorKind.LEASE_EXPIRED)

    def _refuse_if_stale(self, attempt: Attempt, is_not_run: bool) -> Refuse | None:
        if attempt.incarnation != self._lease.incarnation:
            kind = ErrorKind.STALE_INCARNATION
        elif self._clock.now() >= attempt.deadline:
            kind = ErrorKind.DEADLINE_UNREACHABLE
        else:
            return None
        return _refuse(kind if is_not_run else ErrorKind.KEY_UNCERTAIN, kind.value)

    def _new_record(self, ticket: Ticket, state: KeyState) -> KeyRecord:
        return KeyRecord(state, ticket.number, self._clock.wall())

    def _running_record(self, ticket: Ticket) -> KeyRecord | None:
        record = self._store.find(ticket.scoped)
        if record is None or record.number != ticket.number:
            return None
        return record if record.state is KeyState.RUNNING else None


def _refuse(kind: ErrorKind, detail: str = "") -> Refuse:
    # The detail is sent to callers in the response body, so its wording stays fixed.
    return Refuse(RequestError(kind, detail))


def _replay(record: KeyRecord, fingerprint: Fingerprint | None) -> Replay | Refuse:
    if record.fingerprint != fingerprint:
        return _refuse(ErrorKind.KEY_CONFLICT)
    if record.response is None:
        return _refuse(ErrorKind.ANSWER_EVICTED)
    return Replay(record.response)
