"""Accounting of control traffic: all messages except callers' requests."""

from enum import Enum, unique
from typing import Protocol


@unique
class ControlChannel(Enum):
    """Protocols that carry control traffic."""

    SESSION = "session"
    PEER = "peer"
    PLATFORM = "platform"
    LEASE = "lease"
    GROUP = "group"


@unique
class Direction(Enum):
    """Direction of a control message, as seen by this process."""

    SENT = "sent"
    RECEIVED = "received"


class ControlMeter(Protocol):
    """Counter of control messages and their bytes."""

    def count_control_message(
        self, channel: ControlChannel, direction: Direction, size: int
    ) -> None:
        """Count one message of the given size in bytes."""


class NullControlMeter:
    """Control meter that counts nothing."""

    def count_control_message(
        self, channel: ControlChannel, direction: Direction, size: int
    ) -> None:
        """Ignore the message."""
