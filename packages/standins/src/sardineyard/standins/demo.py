"""Demo: a fleet of processes serves a streamed completion and a booking."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from pathlib import Path
from uuid import UUID

from sardineyard.standins.fleet import MODEL, SERVICE, TEAM_KEY, Fleet, FleetSpec

_COMPLETION = {"model": MODEL, "prompt": "A note", "max_tokens": 16, "stream": True}


def new_key() -> str:
    """Return a new idempotency key: a UUIDv7, which contains its creation time."""
    milliseconds = time.time_ns() // 1_000_000
    random_bits = int.from_bytes(os.urandom(10))
    value = (milliseconds << 80) | (0x7 << 76) | (random_bits & ((1 << 76) - 1))
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(UUID(int=value))


async def run_demo(*, keep: bool) -> int:
    """Start a fleet, send the requests, print the responses and stop the fleet."""
    with tempfile.TemporaryDirectory(prefix="sardineyard-") as folder:
        async with Fleet(FleetSpec(), Path(folder)) as fleet:
            succeeded = await _send_requests(fleet)
            if keep:
                await _wait_for_interrupt(fleet)
    return 0 if succeeded else 1


async def _send_requests(fleet: Fleet) -> bool:
    print(f"{len(fleet.processes)} processes run, entry at {fleet.caller_address()}\n")
    print("POST /v1/completions (streamed)")
    completion = await fleet.call("POST", "/v1/completions", _COMPLETION)
    print(completion.body.decode())
    headers = {"idempotency-key": new_key()}
    bookings = []
    for attempt in (1, 2):
        print(f"POST /services/{SERVICE}/bookings, attempt {attempt} with one key")
        booking = await fleet.call(
            "POST", f"/services/{SERVICE}/bookings", {"ship": "A"}, headers=headers
        )
        bookings.append(booking)
        replayed = booking.headers.get("idempotency-replayed", "false")
        print(f"{booking.status} {booking.body.decode()} replayed: {replayed}\n")
    record = await fleet.record("booking-1")
    print(f"record of the booking runner: {len(record)} run(s)")
    for run in record:
        print(run)
    return (
        b"[DONE]" in completion.body
        and all(booking.status == 201 for booking in bookings)
        and len(record) == 1
    )


async def _wait_for_interrupt(fleet: Fleet) -> None:
    address = fleet.caller_address()
    print("\nThe fleet stays up; end it with Ctrl-C. For example:\n")
    print(
        f"  curl -N -H 'Authorization: Bearer {TEAM_KEY}' "
        f"http://{address}/v1/completions -d "
        f'\'{{"model": "{MODEL}", "prompt": "Hi", "max_tokens": 8, "stream": true}}\''
    )
    try:
        await asyncio.get_running_loop().create_future()
    except asyncio.CancelledError:
        print("stopping")
