"""Parsers of option values; each raises ValueError with the reason."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address


@dataclass(frozen=True, slots=True)
class Address:
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as host:port."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else self.hostport

    @property
    def hostport(self) -> str:
        """Return the address without brackets."""
        return f"{self.host}:{self.port}"


def address(text: str) -> Address:
    """Parse host:port, where the host is an IP address."""
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError("no port")
    host = host.removeprefix("[").removesuffix("]")
    ip_address(host)
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError("the port is not between 0 and 65535")
    return Address(host, number)


def addresses(text: str) -> tuple[Address, ...]:
    """Parse a list of addresses separated by commas."""
    return tuple(address(part.strip()) for part in text.split(",") if part.strip())


def seconds(text: str) -> float:
    """Parse a positive number of seconds."""
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError("not a positive number")
    return value


def identifier(text: str) -> str:
    """Parse a name of letters, digits, dots, dashes and underscores."""
    if not text or not all(
        character.isalnum() or character in "._-" for character in text
    ):
        raise ValueError("empty or with characters other than letters, digits and ._-")
    return text
