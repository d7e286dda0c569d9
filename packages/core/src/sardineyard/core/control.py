"""Accounting of control traffic, which is all traffic but callers' work."""

from enum import Enum, unique
from typing import Protocol


@unique
class ControlChannel(Enum):
    """Name the kinds of control traffic."""

    SESSION = "session"
    PEER = "peer"
    PLATFORM = "platform"
    LEASE = "lease"
    GROUP = "group"


@unique
class Direction(Enum):
    """Say which way a control message went."""

    SENT = "sent"
    RECEIVED = "received"


class ControlMeter(Protocol):
    """Count control messages and their bytes."""

    def control_message(
        self, channel: ControlChannel, direction: Direction, size: int
    ) -> None:
        """Count one message and its size in bytes."""


class NoMeter:
    """Count nothing."""

    def control_message(
        self, channel: ControlChannel, direction: Direction, size: int
    ) -> None:
        """Ignore the message."""
