"""Connections that go silent: nothing that the other side sends arrives any more."""

from __future__ import annotations

import ctypes
import struct
from socket import SOL_SOCKET
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import StreamWriter

# Socket option of Linux that attaches a packet filter; Python has no name for it.
_SO_ATTACH_FILTER = 26
# The filter's only instruction: accept 0 bytes of each packet.
_DROP_PACKET = struct.pack("HBBI", 0x06, 0, 0, 0)


def silence(writer: StreamWriter) -> None:
    """Drop all packets that arrive at a connection, acknowledgements included.

    Neither side sees an end: the peer gets no acknowledgement of what it sends.
    """
    instruction = ctypes.create_string_buffer(_DROP_PACKET)
    program = struct.pack("HP", 1, ctypes.addressof(instruction))
    writer.get_extra_info("socket").setsockopt(SOL_SOCKET, _SO_ATTACH_FILTER, program)
