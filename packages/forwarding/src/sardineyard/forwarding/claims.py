"""Findings of other processes, on the clock of this one."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from sardineyard.core.clock import Deadline
from sardineyard.forwarding.crashes import QUARANTINE_S, Crash, most_telling
from sardineyard.forwarding.traits import CrashStatement, Finding, Trait, TraitKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.forwarding.traits import TraitStatement

_MAX_STATED_CRASHES = 4


@dataclass(frozen=True, slots=True)
class Claim:
    """What another process states of a trait."""

    finding: Finding
    expires: Deadline
    companions: frozenset[Trait]
    crashes: tuple[Crash, ...]
    succeeded_at: float | None

    @property
    def is_adverse(self) -> bool:
        """Return whether the process doubts the trait."""
        return self.finding is not Finding.SOUND


def receive_claim(
    statement: TraitStatement, known: Claim | None, now: float
) -> Claim | None:
    """Return what a statement says, or None if its times are impossible."""
    if not _is_valid(statement):
        return None
    expires = Deadline(now + statement.expires_in_s)
    crashes = tuple(
        _earliest(_received(stated, now), known)
        for stated in statement.crashes[:_MAX_STATED_CRASHES]
    )
    succeeded_s_ago = statement.succeeded_s_ago
    # An older release states neither crashes nor the time of a success.
    if not crashes and statement.finding is Finding.CRASHED:
        crashes = (Crash(expires - QUARANTINE_S),)
    if succeeded_s_ago is None and statement.finding is Finding.SOUND:
        succeeded_s_ago = 0.0
    return Claim(
        statement.finding,
        expires,
        statement.companions,
        crashes,
        None if succeeded_s_ago is None else now - succeeded_s_ago,
    )


def state_crashes(crashes: Sequence[Crash], now: float) -> tuple[CrashStatement, ...]:
    """Return those of the own crashes that tell other processes most."""
    return tuple(
        _stated(crash, now) for crash in most_telling(crashes)[:_MAX_STATED_CRASHES]
    )


def _stated(crash: Crash, now: float) -> CrashStatement:
    assert crash.request is not None
    started_at = crash.call_started_at
    return CrashStatement(
        crash.request.fingerprint,
        crash.upstream,
        None if started_at is None else now - started_at,
        now - crash.time,
    )


def _received(stated: CrashStatement, now: float) -> Crash:
    started_s_ago = stated.call_started_s_ago
    return Crash(
        now - stated.crashed_s_ago,
        Trait(TraitKind.REQUEST, stated.request),
        stated.upstream,
        None if started_s_ago is None else now - started_s_ago,
    )


def _earliest(crash: Crash, known: Claim | None) -> Crash:
    """Return the crash with the earliest time at which it was received so far.

    Statements are delayed, never early, so that time is the most accurate one.
    """
    for other in () if known is None else known.crashes:
        is_same = (other.request, other.upstream) == (crash.request, crash.upstream)
        if is_same and crash.upstream is not None and other.time < crash.time:
            return other
    return crash


def _is_valid(statement: TraitStatement) -> bool:
    succeeded_s_ago = statement.succeeded_s_ago
    return (
        0.0 < statement.expires_in_s <= QUARANTINE_S
        and (succeeded_s_ago is None or 0.0 <= succeeded_s_ago <= QUARANTINE_S)
        and all(
            0.0 <= crash.crashed_s_ago <= QUARANTINE_S
            and (
                crash.call_started_s_ago is None
                or crash.crashed_s_ago <= crash.call_started_s_ago < inf
            )
            for crash in statement.crashes
        )
    )
