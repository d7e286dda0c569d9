"""Parsers of option values; each raises ValueError for an invalid value."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING

from sardineyard.core.address import parse_address as address

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.address import Address

MIN_KEY_CHARACTERS = 16


def reachable_address(text: str) -> Address:
    """Parse an address to which other processes can connect."""
    value = address(text)
    if ip_address(value.host).is_unspecified:
        raise ValueError("wildcard address, to which no other process can connect")
    return value


def addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of addresses."""
    return tuple(address(part.strip()) for part in text.split(",") if part.strip())


def seconds(text: str) -> float:
    """Parse a positive number of seconds."""
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError("not a positive number")
    return value


def shared_key(text: str) -> str:
    """Parse a key of at least MIN_KEY_CHARACTERS printable characters."""
    if len(text) < MIN_KEY_CHARACTERS or not text.isprintable():
        raise ValueError("too short or not printable")
    return text


def identifier(text: str) -> str:
    """Parse a name of letters, digits, dots, dashes and underscores."""
    if not text or not all(
        character.isalnum() or character in "._-" for character in text
    ):
        raise ValueError("empty or has characters other than letters, digits and ._-")
    return text


def one_of(*allowed: str) -> Callable[[str], str]:
    """Return a parser that accepts only the given values."""

    def parse(text: str) -> str:
        if text not in allowed:
            raise ValueError("unknown value")
        return text

    return parse


def positive_integer(text: str) -> int:
    """Parse an integer above zero."""
    value = int(text)
    if value < 1:
        raise ValueError("not above zero")
    return value


def non_negative_number(text: str) -> float:
    """Parse a number of at least zero."""
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError("below zero")
    return value


def fraction(text: str) -> float:
    """Parse a number from 0 to 1."""
    value = non_negative_number(text)
    if value > 1:
        raise ValueError("above 1")
    return value
