"""Parsing of idempotency keys, and their creation times."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.clock import WallTime
from sardineyard.core.errors import ErrorKind, RequestError

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.ids import ServiceName, TeamId

MAX_KEY_CHARACTERS = 128
# RFC 9562: the first 48 bits of a version 7 UUID are milliseconds since 1970.
_UUID_VERSION_7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
_PRINTABLE = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARACTERS}}}")


@dataclass(frozen=True, slots=True)
class TimedKey:
    """Key in the form of a version 7 UUID, which contains its creation time."""

    text: str
    created: WallTime


@dataclass(frozen=True, slots=True)
class UntimedKey:
    """Key of any other form, whose creation time is unknown."""

    text: str


Key = TimedKey | UntimedKey


@dataclass(frozen=True, slots=True)
class ScopedKey:
    """Key together with the team and service in which it is unique."""

    team: TeamId
    service: ServiceName
    key: Key


def parse_key(header: str) -> Result[Key, RequestError]:
    """Parse the value of an Idempotency-Key header, with or without quotes."""
    text = header.strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if not _PRINTABLE.fullmatch(text):
        detail = f"1 to {MAX_KEY_CHARACTERS} printable ASCII characters are allowed"
        return Failure(RequestError(ErrorKind.KEY_INVALID, detail))
    # A UUID is the same key in upper and in lower case.
    lowered = text.lower()
    if _UUID_VERSION_7.fullmatch(lowered):
        milliseconds = int(lowered[:8] + lowered[9:13], 16)
        return Success(TimedKey(lowered, WallTime(milliseconds / 1000)))
    return Success(UntimedKey(text))


@singledispatch
def created_at(key: object, arrival: WallTime, window_s: float) -> WallTime:
    """Return the creation time of a key, or the earliest possible one if unknown."""
    raise TypeError(f"unsupported key type: {key!r}")


@created_at.register(TimedKey)
def _timed_created_at(key: TimedKey, arrival: WallTime, window_s: float) -> WallTime:
    return key.created


@created_at.register(UntimedKey)
def _untimed_created_at(
    key: UntimedKey, arrival: WallTime, window_s: float
) -> WallTime:
    # An untimed key may be retried for `window_s` seconds after its first attempt, so
    # the first attempt may have arrived that long before this one.
    return WallTime(arrival - window_s)


@singledispatch
def cutoff_after(key: object, arrival: WallTime) -> WallTime:
    """Return the history cutoff that refuses all later attempts with an evicted key."""
    raise TypeError(f"unsupported key type: {key!r}")


@cutoff_after.register(TimedKey)
def _timed_cutoff_after(key: TimedKey, arrival: WallTime) -> WallTime:
    return key.created


@cutoff_after.register(UntimedKey)
def _untimed_cutoff_after(key: UntimedKey, arrival: WallTime) -> WallTime:
    # A later attempt within the window counts as created at its arrival less the
    # window, which is at or before the first arrival. The creation time that was
    # assumed for the first attempt would be too early as a cutoff.
    return arrival
