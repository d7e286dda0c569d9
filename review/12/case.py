"""Case 12: a configuration that a revision given out again hides from the gateways."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

from world import (  # noqa: E402
    CONFIG_APPLY_S,
    STABLE_S,
    STRETCH_S,
    has_trouble,
    make_config,
    play,
)

if TYPE_CHECKING:
    from world import World

_PATH, _OLD, _NEW = "/book/", "booking-desk", "booking-desk-2"
_KEPT_KEY, _WITHDRAWN_KEY = "key-large-0001", "key-small-0001"
_WORK_S = 0.0225
_TIMEOUT_MS = 4000
_AWAY_S = 1.5


async def _play(world: World) -> bool:
    before = {"large": [_KEPT_KEY], "small": [_WITHDRAWN_KEY]}
    after = {"large": [_KEPT_KEY], "small": []}
    # Both services are named in each version, so only the route and the key change.
    routes = {_PATH: _OLD, "/idle/": _NEW}
    await world.store.start()
    await world.configure(make_config(1, routes, before))
    for service, numbers in ((_OLD, range(2)), (_NEW, range(2, 4))):
        for number in numbers:
            await world.add_runner(f"i-{number:08x}", service, _WORK_S)
    await asyncio.sleep(0.5)
    for _ in range(2):
        await world.add_gateway()
    loads = [
        asyncio.create_task(world.send_for(20.0, 15.0, _PATH, key, _TIMEOUT_MS))
        for key in (_KEPT_KEY, _WITHDRAWN_KEY)
    ]
    await asyncio.sleep(1.5)
    world.store.take_copy()
    await asyncio.sleep(1.0)
    second = make_config(2, routes, before)
    second["routes"][0]["timeoutMs"] = 3900
    await world.configure(second)
    await asyncio.sleep(2.0)

    third = make_config(3, {_PATH: _NEW, "/idle/": _NEW}, after)
    third["services"] = second["services"]
    if has_trouble():
        drill = asyncio.create_task(world.store.drill(_AWAY_S))
        await asyncio.sleep(_AWAY_S / 2)
    acknowledged_at = await world.configure(third)
    if has_trouble():
        await drill
    stable_at = time.monotonic() + STABLE_S
    await asyncio.gather(*loads)
    applied_at = acknowledged_at + CONFIG_APPLY_S + STRETCH_S
    return _check(world, max(applied_at, stable_at))


def _check(world: World, in_force_at: float) -> bool:
    sent_at = {answer.request_id: answer.sent_at for answer in world.answers}
    stale = [
        arrival
        for runner in world.runners
        for arrival in runner.arrivals
        if sent_at[arrival.request_id] > in_force_at
        and (arrival.service == _OLD or arrival.tenant == "small")
    ]
    checked = [a for a in world.answers if a.sent_at > in_force_at]
    refused = sum(a.status == 401 for a in checked)
    old_service = sum(arrival.service == _OLD for arrival in stale)
    withdrawn = sum(arrival.tenant == "small" for arrival in stale)
    world.log(
        f"result: of {len(checked)} bookings sent later than "
        f"{world.seconds(in_force_at):.3f} s, {refused} were refused with 401, "
        f"{old_service} were run by the service of the older version, {withdrawn} were "
        "run with the withdrawn key"
    )
    return not stale


if __name__ == "__main__":
    sys.exit(play(_play, HERE / "record.txt"))
