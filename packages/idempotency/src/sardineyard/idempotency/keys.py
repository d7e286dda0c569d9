"""Idempotency keys as callers write them, and what each kind says about its age."""

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
# RFC 9562: version 7 holds milliseconds since 1970 in its first 48 bits.
_UUID_VERSION_7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
_PRINTABLE = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARACTERS}}}")


@dataclass(frozen=True, slots=True)
class TimedKey:
    """Hold a UUID version 7, which names its creation time."""

    text: str
    created: WallTime


@dataclass(frozen=True, slots=True)
class UntimedKey:
    """Hold any other text, which says nothing about its age."""

    text: str


Key = TimedKey | UntimedKey


@dataclass(frozen=True, slots=True)
class ScopedKey:
    """Separate the keys of one team and service from those of all others."""

    team: TeamId
    service: ServiceName
    key: Key


def parse_key(header: str) -> Result[Key, RequestError]:
    """Parse the text of an Idempotency-Key header, quoted or bare."""
    text = header.strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if not _PRINTABLE.fullmatch(text):
        detail = f"1 to {MAX_KEY_CHARACTERS} printable ASCII characters are allowed"
        return Failure(RequestError(ErrorKind.KEY_INVALID, detail))
    # Upper and lower case write the same UUID, so they must be the same key.
    lowered = text.lower()
    if _UUID_VERSION_7.fullmatch(lowered):
        milliseconds = int(lowered[:8] + lowered[9:13], 16)
        return Success(TimedKey(lowered, WallTime(milliseconds / 1000)))
    return Success(UntimedKey(text))


@singledispatch
def created_at(key: object, arrival: WallTime, window_s: float) -> WallTime:
    """Return the creation time that an attempt may claim when it arrives."""
    raise TypeError(f"not a key: {key!r}")


@created_at.register(TimedKey)
def _timed_created_at(key: TimedKey, arrival: WallTime, window_s: float) -> WallTime:
    return key.created


@created_at.register(UntimedKey)
def _untimed_created_at(
    key: UntimedKey, arrival: WallTime, window_s: float
) -> WallTime:
    return WallTime(arrival - window_s)


@singledispatch
def floor_after(key: object, arrival: WallTime) -> WallTime:
    """Return the floor that refuses every later attempt of a forgotten key."""
    raise TypeError(f"not a key: {key!r}")


@floor_after.register(TimedKey)
def _timed_floor_after(key: TimedKey, arrival: WallTime) -> WallTime:
    return key.created


@floor_after.register(UntimedKey)
def _untimed_floor_after(key: UntimedKey, arrival: WallTime) -> WallTime:
    # A later attempt claims its own arrival less the window. The floor therefore
    # has to be at the first arrival, not at the creation that was claimed then.
    return arrival
