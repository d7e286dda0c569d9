"""Starts gateways with the commands of the deploy file, and stand-in runners."""

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http1 import call
from store import Store
from wire import name

ROOT = Path(__file__).resolve().parents[2]
LIB = Path(__file__).resolve().parent
# Bounds of the sheets of both sites.
BOUNDS = {
    "graceS": 8,
    "budgetRatio": 0.2,
    "budgetExtra": 188,
    "budgetWindowS": 10,
    "drainMs": 2000,
    "configApplyMs": 2000,
    "stableMs": 3000,
}
BEAT_S = 1.2
# An entry is removed after three heartbeat intervals of silence.
LAPSE_S = 3 * BEAT_S


class CannotRunError(Exception):
    """The case could not be run on this machine."""


def free_port(host="127.0.0.1"):
    """Return a loopback port on which nothing listens."""
    # The operating system assigns ports from 32768 on to outgoing connections.
    for port in random.sample(range(12_000, 32_000), 1_000):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


def fill(template, values):
    """Fill in the placeholders `{{a}}`, `{{a.b}}` and `{{a.0}}` of a template."""

    def value(match):
        found = values
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, path):
        self._file = path.open("w")
        self._started = time.monotonic()

    @property
    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started

    def write(self, text):
        """Write one line with the time."""
        self._file.write(f"{self.now:9.3f} s  {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


class Process:
    """A child process, which is ended by its id."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self._process = None

    @property
    def is_running(self):
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self):
        """Return the process id."""
        return self._process.pid

    async def spawn(self, words, env=None, cwd=None, stdout=None):
        """Start the process."""
        self._process = await asyncio.create_subprocess_exec(
            *words,
            env=env,
            cwd=cwd,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=stdout if stdout is not None else asyncio.subprocess.DEVNULL,
            stderr=stdout if stdout not in (None, asyncio.subprocess.PIPE) else None,
        )
        return self._process

    def signal(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self.record.write(f"{self.name} gets {signal.Signals(number).name}")
            self._process.send_signal(number)

    async def wait(self):
        """Wait until the process has ended."""
        return await self._process.wait()

    async def end(self):
        """Kill the process if it still runs."""
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            await self._process.wait()


class Gateway(Process):
    """One gateway, started with the command and the template of the deploy file."""

    def __init__(self, name, ip, ports, fleet):
        super().__init__(name, fleet.record)
        self.ip = ip
        self.ports = ports
        self._fleet = fleet
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "gateway"
        ]
        self._words = shlex.split(role["run"])
        self._template = (ROOT / role["template"]).read_text()

    def settings(self):
        """Return the fields with which the platform fills in the template."""
        return {
            name("node"): self.name,
            "zone": "zone-a",
            "ip": self.ip,
            name("ports"): [self.ports["admin"], self.ports["beacon"]],
            "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{self._fleet.store.port}"},
            "seeds": self._fleet.seeds,
            "listen": {
                "front": f"{self.ip}:{self.ports['front']}",
                "ready": f"{self.ip}:{self.ports['ready']}",
                "control": f"{self.ip}:{self.ports['control']}",
            },
        }

    async def start(self):
        """Start the process with the command of the deploy file."""
        text = fill(self._template, self.settings())
        path = self._fleet.folder / f"{self.name}.ini"
        path.write_text(text)
        log = (self._fleet.folder / f"{self.name}.log").open("ab")
        env = {
            variable: os.environ[variable]
            for variable in ("PATH", "HOME", "LANG")
            if variable in os.environ
        }
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            name("settings_variable"): str(path),
        }
        await self.spawn(self._words, env=env, cwd=ROOT, stdout=log)
        log.close()
        self.record.write(f"{self.name} is started")

    async def is_ready(self):
        """Return whether the gateway reports itself ready."""
        found = await call(
            self.ip,
            self.ports["ready"],
            "GET",
            "/readiness",
            [("Host", "ready")],
            timeout_s=0.5,
        )
        return found.status == 200


class Runner(Process):
    """One stand-in runner and its heartbeats in the store."""

    def __init__(self, name, service, fleet, options, slots=6):
        super().__init__(name, fleet.record)
        self.service = service
        self.slots = slots
        self.port = free_port()
        self.id = ""
        self.runs = []
        self.on_run = None
        self.state = "ready"
        # What the time of day on the runner's machine is ahead of the true time.
        self.clock_offset_ms = 0
        self._options = options
        self._fleet = fleet
        self._starts = 0

    @property
    def key(self):
        """Return the key of the entry in the store."""
        return f"servers/{self.id}"

    def entry(self):
        """Return the entry that the runner writes."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            name("cold_left"): 0,
            "sequence": 0,
            "born": self.born_ms,
        }

    async def start(self, keeps_id=False):
        """Start a new incarnation, with an id of its own unless it keeps the last."""
        if not keeps_id:
            self._starts += 1
            self.id = f"i-{self.name}-{self._starts}"
        self.born_ms = int(time.time() * 1000) + self.clock_offset_ms
        words = [
            sys.executable,
            str(LIB / "runner.py"),
            "--id",
            self.id,
            "--port",
            str(self.port),
            "--slots",
            str(self.slots),
            *self._options,
        ]
        process = await self.spawn(words, stdout=asyncio.subprocess.PIPE)
        ready = await process.stdout.readline()
        if ready.strip() != b"ready":
            raise CannotRunError(f"runner {self.name} did not start")
        for task in (self._read(process, self.id), self._beat(self.id)):
            self._fleet.tasks.append(asyncio.create_task(task))
        self.record.write(f"{self.id} is started")

    async def drain(self):
        """Report a planned shutdown; the return is the acknowledgement."""
        self.state = "draining"
        await self._fleet.store.put(self.key, self.entry())
        self.record.write(f"the store has accepted that {self.id} is draining")

    async def _read(self, process, id):
        while line := await process.stdout.readline():
            text = line.decode().strip()
            self.record.write(f"{id} {text}")
            if self.on_run is not None:
                self.on_run(id, text)
        await process.wait()
        self.record.write(f"{id} has ended")

    async def _beat(self, id):
        key = self.key
        process = self._process
        while process.returncode is None and self.id == id:
            await self._fleet.store.put(key, self.entry())
            await asyncio.sleep(BEAT_S)
        await asyncio.sleep(LAPSE_S - BEAT_S)
        if self._process is process or self.id != id:
            await self._fleet.store.delete(key)


class Fleet:
    """Store, gateways and runners of one case."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = Store()
        self.gateways = []
        self.runners = []
        self.seeds = []
        self.tasks = []

    async def start(self, config, gateways, runners):
        """Start the store, the runners and the gateways."""
        await self.store.start()
        await self.store.put(name("config_key"), config)
        self.runners = runners(self)
        for runner in self.runners:
            await runner.start()
        beacon = free_port()
        for number in range(gateways):
            ip = f"127.0.0.{number + 1}"
            ports = {
                use: free_port(ip) for use in ("front", "ready", "control", "admin")
            }
            ports["beacon"] = beacon
            self.gateways.append(Gateway(f"gateway-{number + 1}", ip, ports, self))
        self.seeds = [f"{g.ip}:{g.ports['control']}" for g in self.gateways[:3]]
        for gateway in self.gateways:
            await gateway.start()
        await self.wait_ready()

    async def wait_ready(self, timeout_s=20.0):
        """Wait until all gateways report themselves ready."""
        try:
            async with asyncio.timeout(timeout_s):
                for gateway in self.gateways:
                    while True:
                        if await gateway.is_ready():
                            break
                        await asyncio.sleep(0.1)
        except TimeoutError:
            raise CannotRunError("a gateway did not become ready") from None

    async def close(self):
        """End all processes."""
        # Some tasks start processes again, so they end first.
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in (*self.gateways, *self.runners):
            await process.end()
        self.store.close()


def run_case(case, folder):
    """Run a case, which returns whether the rule was broken; return the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    status = 2

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(Path(temporary), record)
            try:
                async with asyncio.timeout(110):
                    return await case(fleet, record, trouble)
            finally:
                await fleet.close()
                if keep := os.environ.get("KEEP_LOGS"):
                    shutil.copytree(temporary, keep, dirs_exist_ok=True)

    try:
        breaks = asyncio.run(run())
        status = 1 if breaks else 0
        text = "the rule was broken" if breaks else "the rule held"
    except (CannotRunError, TimeoutError, OSError) as error:
        text = f"the case could not run: {error!r}"
    record.write(text)
    record.close()
    print(json.dumps({"trouble": trouble, "result": text}))
    return status
