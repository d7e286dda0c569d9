"""Case 14: gateways added after the drill learn the lost history from their peers."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

from world import DRAIN_S, STABLE_S, has_trouble, make_config, play  # noqa: E402

if TYPE_CHECKING:
    from world import World

_PATH, _SERVICE, _KEY = "/book/", "booking-desk", "key-large-0001"
_WORK_S = 0.0225
_ADDED = 4
# Bookings a second, to all gateways together.
_PER_S = 6.0
_TIMEOUT_MS = 4000
# Changes of the configuration in the seconds that the store loses.
_CHANGES, _CHANGE_GAP_S = 3, 1.0
_AWAY_S = 1.0
# Time for which the runner serves after its report of draining.
_SERVES_S = 9.0


async def _play(world: World) -> bool:
    version = 1
    tenants = {"large": [_KEY]}
    await world.store.start()
    await world.configure(make_config(version, {_PATH: _SERVICE}, tenants))
    for number in range(3):
        await world.add_runner(f"i-{number:08x}", _SERVICE, _WORK_S)
    await asyncio.sleep(0.5)
    for _ in range(2):
        await world.add_gateway()
    load = asyncio.create_task(world.send_for(32.0, _PER_S, _PATH, _KEY, _TIMEOUT_MS))
    await asyncio.sleep(2.0)

    world.store.take_copy()
    config = make_config(version, {_PATH: _SERVICE}, tenants)
    for _ in range(_CHANGES):
        version += 1
        config = make_config(version, {_PATH: _SERVICE}, tenants)
        config["routes"][0]["timeoutMs"] = 4000 + version
        await world.configure(config)
        await asyncio.sleep(_CHANGE_GAP_S)
    leaving = await world.add_runner("i-000000ff", _SERVICE, _WORK_S)
    await asyncio.sleep(1.5)
    if has_trouble():
        await world.store.drill(_AWAY_S)
        await world.configure(config)
    else:
        await asyncio.sleep(_AWAY_S)

    # The store has been without disruption for the bound, and its copy is history.
    await asyncio.sleep(STABLE_S)
    added = [(await world.add_gateway()).name for _ in range(_ADDED)]
    in_touch_at = time.monotonic() + STABLE_S
    await asyncio.sleep(2 * STABLE_S)
    acknowledged_at = await leaving.drain()
    world.log(f"runner {leaving.id}: draining acknowledged")
    await asyncio.sleep(_SERVES_S)
    cut = set(leaving.ran) - leaving.answered
    await leaving.exit()
    await load

    late_after = max(acknowledged_at + DRAIN_S, in_touch_at)
    return _check(world, added, leaving.id, late_after, cut)


def _check(
    world: World, added: list[str], leaving: str, late_after: float, cut: set[str]
) -> bool:
    answers = {answer.request_id: answer for answer in world.answers}
    late = [
        arrival
        for runner in world.runners
        for arrival in runner.arrivals
        if arrival.runner == leaving
        and answers[arrival.request_id].gateway in added
        and answers[arrival.request_id].sent_at > late_after
    ]
    for arrival in late:
        gateway = answers[arrival.request_id].gateway
        world.log(f"DRAIN: {arrival.request_id} reached {leaving} through {gateway}")
    lost = [
        (i, answers[i].gateway, answers[i].status)
        for i in sorted(cut)
        if answers[i].status != 200
    ]
    world.log(
        f"result: {len(late)} requests reached {leaving} too late through the gateways "
        f"that were started after the drill; {len(lost)} bookings that ran there were "
        f"lost: {lost}"
    )
    return not late


if __name__ == "__main__":
    sys.exit(play(_play, HERE / "record.txt"))
