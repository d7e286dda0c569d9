"""Network addresses of processes."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """IP address and port of a process."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as host:port, with an IPv6 host in brackets."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse host:port with an IP address as host; raise ValueError if invalid."""
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError("port is missing; expected host:port")
    host = host.removeprefix("[").removesuffix("]")
    ip_address(host)
    if not (port.isascii() and port.isdigit()):
        raise ValueError("port is not a number")
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError("port is not between 0 and 65535")
    return Address(host, number)
