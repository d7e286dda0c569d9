"""A prompt that crashes each runner that begins to run it comes again and again."""

import asyncio
import json
import random
import sys
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import Runner, run_case  # noqa: E402
from http1 import call  # noqa: E402
from wire import prompt_fields, request_fields  # noqa: E402

HOST = "desk.example"
SERVICE = "draft-desk"
RUNNERS = 6
GATEWAYS = 2
FIRST_TOKEN_MS = 150
RUNNER_DOWN_S = 3.0
LENGTH_S = 45.0
DEADLINE_MS = 8041
KEY = "key-clerks-0001"
# The caller of the crashing prompt comes again this long after its last answer.
COMES_AGAIN_AFTER_S = 2.5
OTHERS_PER_S = 4.0
STABLE_S = 3.0
# BUDGET: three crashes, then three retries beyond `stableMs`.
CRASHES = 3
ALLOWED_RETRIES = 3

CONFIG = json.loads((FOLDER / "config.json").read_text())


async def case(fleet, record, trouble):
    """Return whether the rule was broken."""
    options = ["--work-ms", str(FIRST_TOKEN_MS), "--stream"]
    await fleet.start(
        CONFIG,
        GATEWAYS,
        lambda fleet: [
            Runner(f"r{n}", SERVICE, fleet, options) for n in range(RUNNERS)
        ],
    )
    rng = random.Random(1)
    started = record.now
    deadly_ids, crash_times = set(), []
    ends = {"deadly": {}, "others": {}}

    def on_run(id, text):
        words = text.split()
        if trouble and words[0] == "runs" and words[1] in deadly_ids:
            crash_times.append(record.now)

    async def keep_running(runner):
        while True:
            await runner.wait()
            await asyncio.sleep(RUNNER_DOWN_S)
            await runner.start()

    for runner in fleet.runners:
        runner.on_run = on_run
        fleet.tasks.append(asyncio.create_task(keep_running(runner)))

    async def draft(kind, body, prefix):
        gateway = rng.choice(fleet.gateways)
        id = uuid.uuid4().hex[:16]
        if kind == "deadly":
            deadly_ids.add(id)
        record.write(f"request {id} ({kind}) sent to {gateway.name}")
        found = await call(
            gateway.ip,
            gateway.ports["front"],
            "POST",
            "/draft/note",
            [
                *request_fields(HOST, KEY, id, DEADLINE_MS),
                *prompt_fields("714,96", prefix),
            ],
            body,
            timeout_s=DEADLINE_MS / 1000,
        )
        record.write(f"request {id} ends: {found.status} {found.ending}")
        name = f"{found.status} {found.ending}"
        ends[kind][name] = ends[kind].get(name, 0) + 1

    async def deadly_caller():
        body = b"deadly prompt" if trouble else b"plain prompt"
        while record.now - started < LENGTH_S:
            await draft("deadly", body, "5c1e07a2:40,0dead001:674")
            await asyncio.sleep(COMES_AGAIN_AFTER_S)

    async def other_callers():
        calls = set()
        while record.now - started < LENGTH_S:
            prefix = f"5c1e07a2:40,{rng.randrange(16**8):08x}:674"
            body = f"note {uuid.uuid4().hex}".encode()
            task = asyncio.create_task(draft("others", body, prefix))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(rng.expovariate(OTHERS_PER_S))
        await asyncio.gather(*calls)

    await asyncio.gather(deadly_caller(), other_callers())
    late = []
    if len(crash_times) >= CRASHES:
        after = crash_times[CRASHES - 1] + STABLE_S
        late = [at for at in crash_times if at > after]
    record.write(f"answers: {ends}")
    record.write(
        f"the prompt crashed {len(crash_times)} runners, {len(late)} of them later "
        f"than {STABLE_S} s after the third crash; allowed {ALLOWED_RETRIES}"
    )
    print(ends, len(crash_times), len(late))
    return len(late) > ALLOWED_RETRIES


sys.exit(run_case(case, FOLDER))
