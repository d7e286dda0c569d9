"""gRPC channels to other processes, on which every call is signed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from grpclib.client import Channel

from sardineyard.wire.authentication import sign_calls

if TYPE_CHECKING:
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.wire.credentials import Credentials


class Dialer:
    """Factory of channels that sign with the credentials of the local process."""

    def __init__(self, credentials: Credentials, clock: Clock) -> None:
        self._credentials = credentials
        self._clock = clock

    def open(self, address: Address) -> Channel:
        """Return a channel to an address; it connects at its first call."""
        channel = Channel(address.host, address.port)
        sign_calls(channel, self._credentials, self._clock)
        return channel
