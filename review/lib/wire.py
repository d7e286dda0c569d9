"""Names of the users' wire, which stand in wire.json."""

import json
from pathlib import Path

_NAMES = json.loads((Path(__file__).parent / "wire.json").read_text())


def name(key):
    """Return a header, field, path or variable by its meaning."""
    return _NAMES[key]


def request_fields(host, key, id, deadline_ms):
    """Return the header fields that each request of a client has."""
    return [
        ("Host", host),
        (name("attempt_id"), id),
        (name("deadline"), deadline_ms),
        ("Authorization", f"Token {key}"),
    ]


def prompt_fields(token_count, parts):
    """Return the header fields of a request to a model."""
    return [
        (name("model"), "m"),
        (name("token_count"), token_count),
        (name("prompt"), parts),
    ]
