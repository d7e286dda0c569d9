"""Parsers of option values; each raises ValueError with the reason."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.core.address import parse_address as address

if TYPE_CHECKING:
    from sardineyard.core.address import Address


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
