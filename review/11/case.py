"""Case 11: a runner that drains after the store came back from an older copy."""

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
_GATEWAYS = 8
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
    for _ in range(_GATEWAYS):
        await world.add_gateway()
    load = asyncio.create_task(world.send_for(27.0, _PER_S, _PATH, _KEY, _TIMEOUT_MS))
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

    # The store has been without disruption for twice the bound.
    await asyncio.sleep(2 * STABLE_S)
    acknowledged_at = await leaving.drain()
    world.log(f"runner {leaving.id}: draining acknowledged")
    await asyncio.sleep(_SERVES_S)
    cut = set(leaving.ran) - leaving.answered
    await leaving.exit()
    exited_at = time.monotonic()
    await load

    return _check(world, leaving.id, acknowledged_at, exited_at, cut)


def _check(
    world: World, leaving: str, acknowledged_at: float, exited_at: float, cut: set[str]
) -> bool:
    sent_at = {answer.request_id: answer.sent_at for answer in world.answers}
    status = {answer.request_id: answer.status for answer in world.answers}
    late = [
        arrival
        for runner in world.runners
        for arrival in runner.arrivals
        if arrival.runner == leaving
        and sent_at[arrival.request_id] > acknowledged_at + DRAIN_S
    ]
    for arrival in late:
        world.log(
            f"DRAIN: {arrival.request_id}, sent "
            f"{sent_at[arrival.request_id] - acknowledged_at:.3f} s after the "
            f"acknowledgement, reached {leaving}"
        )
    lost = [i for i in sorted(cut) if status[i] != 200]
    world.log(
        f"result: {len(late)} requests reached {leaving} too late; it exited "
        f"{exited_at - acknowledged_at:.3f} s after the acknowledgement, "
        f"{len(lost)} bookings that ran there were lost: "
        f"{[(i, status[i]) for i in lost]}"
    )
    return not late


if __name__ == "__main__":
    sys.exit(play(_play, HERE / "record.txt"))
