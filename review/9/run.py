"""DENIED: sound requests are refused for their share of a prompt with a bad one."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from client import Client  # noqa: E402
from runner import Runner  # noqa: E402
from world import (  # noqa: E402
    HEADERS,
    TROUBLE,
    Program,
    Store,
    free_ports,
    gateway_values,
    main,
    wait_ready,
)

SERVICE = "draft-desk"
GATEWAYS, RUNNERS = 3, 6
# The clerks' prompts begin with the same part. One note a 1.5 s comes from them, and
# other drafts, with parts of their own, come four times a second.
SHARED = "5c1e07a2:40"
NOTE_EVERY_S, OTHER_EVERY_S = 1.5, 0.25
RUN_S = 60.0
BAD_AT_S = 12.0
BACK_AFTER_S = 3.0
# Statuses that the rule leaves out.
LEFT_OUT = (408, 421, 429)


async def case(record, folder: Path, programs: list[Program]) -> int:
    """Run the case and return its exit code."""
    names = ["store", "app", "admin", "front", "ready", "control", "beacon"]
    hosts = [f"127.0.0.{1 + i}" for i in range(max(GATEWAYS, RUNNERS))]
    ports = dict(zip(names, free_ports(len(names), hosts), strict=True))
    store = Store("127.0.0.1", ports["store"])
    await store.start()
    await store.put_config(FOLDER)
    restarts: set[asyncio.Task] = set()

    def on_crash(runner: Runner) -> None:
        async def start_again() -> None:
            await asyncio.sleep(BACK_AFTER_S)
            await runner.start()
            await store.put(f"servers/{runner.id}", runner.entry)
            record(f"runner {runner.id} is back")

        restarts.add(asyncio.create_task(start_again()))

    for number in range(RUNNERS):
        host = f"127.0.0.{1 + number}"
        runner = Runner(
            record,
            SERVICE,
            f"i-{number}",
            host,
            ports["app"],
            prefill_s=0.1,
            events=24,
            gap_s=0.02,
        )
        runner.crashes_on, runner.on_crash = b"bad note", on_crash
        await runner.start()
        await store.put(f"servers/{runner.id}", runner.entry)
    seeds = ",".join(f"{host}:{ports['control']}" for host in hosts[:GATEWAYS])
    for number, host in enumerate(hosts[:GATEWAYS], 1):
        values = gateway_values(number, host, ports, store, seeds)
        program = Program("gateway", f"front-a-{number}", folder, values)
        programs.append(program)
        await program.start()
    for host in hosts[:GATEWAYS]:
        await wait_ready(host, ports["ready"])
    await asyncio.sleep(2.0)
    rng = random.Random(1)
    numbers = iter(range(1_000_000))
    answers: dict[str, list] = {"note": [], "other": [], "bad note": []}

    async def draft(kind: str, gateway: int, text: bytes) -> None:
        number = next(numbers)
        shared = f"{number % 8 + 16:08x}:40" if kind == "other" else SHARED
        own = f"{number + 4096:08x}:674"
        fields = (
            f"{HEADERS['model']}: m",
            f"{HEADERS['tokens']}: 714,96",
            f"{HEADERS['prompt']}: {shared},{own}",
        )
        client = Client(hosts[gateway], ports["front"])
        answer = await client.send("POST", "/draft/note", text, 8.0, fields)
        client.close()
        record(f"{kind} at front-a-{gateway + 1}: {answer}")
        answers[kind].append(answer)

    started = time.monotonic()
    calls: list[asyncio.Task] = []

    async def send_each(kind: str, every_s: float) -> None:
        while time.monotonic() < started + RUN_S:
            gateway = rng.randrange(GATEWAYS)
            calls.append(
                asyncio.create_task(draft(kind, gateway, b"sound note %d" % len(calls)))
            )
            await asyncio.sleep(every_s)

    async def send_bad() -> None:
        # The client comes again after each failure, at the next machine, and again
        # later with the same path and body.
        await asyncio.sleep(BAD_AT_S + 0.8)
        for wait_s in (0.0, 0.0, 0.0, 10.0, 10.0):
            await asyncio.sleep(wait_s)
            await draft("bad note", len(answers["bad note"]) % GATEWAYS, b"bad note")

    senders = [
        asyncio.create_task(send_each("note", NOTE_EVERY_S)),
        asyncio.create_task(send_each("other", OTHER_EVERY_S)),
    ]
    if TROUBLE:
        senders.append(asyncio.create_task(send_bad()))
    await asyncio.gather(*senders)
    await asyncio.gather(*calls)
    sound = [*answers["note"], *answers["other"]]
    refused = [a for a in sound if 300 <= a.status < 500 and a.status not in LEFT_OUT]
    allowed = 5 + len(sound) / 500
    for kind, given in answers.items():
        statuses = sorted({a.status for a in given})
        counts = {s: sum(a.status == s for a in given) for s in statuses}
        record(f"{kind}: {len(given)} requests by status {counts}")
    record(f"sound requests refused with 3xx or 4xx: {len(refused)}, allowed {allowed}")
    return 1 if len(refused) > allowed else 0


main(case, FOLDER)
