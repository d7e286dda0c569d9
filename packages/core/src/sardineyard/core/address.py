"""Addresses of processes."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as host:port, with brackets around IPv6."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse host:port, where the host is an IP address; raise ValueError."""
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError("no port")
    host = host.removeprefix("[").removesuffix("]")
    ip_address(host)
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError("the port is not between 0 and 65535")
    return Address(host, number)
