"""Stand-ins and processes for the scripts of this review; standard library only.

The stand-ins follow the users' pages: the platform's store (read form), a small HTTP
server, and the start of the project's programs as the deploy file starts them.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import socket
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl, urlsplit

if TYPE_CHECKING:
    import signal

ROOT = Path(__file__).resolve().parents[2]
# Names of the platform, as PROTOCOL.md and DEPLOY.md give them.
WIRE = json.loads(Path(__file__).with_name("wire.json").read_text())
HEADERS: dict[str, str] = WIRE["headers"]
_STORE: dict[str, str] = WIRE["store"]
SETTINGS: dict[str, str] = WIRE["settings"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt, with the test's time."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Request:
    """Request that a stand-in received."""

    def __init__(self, method: str, target: str, fields: list[tuple[str, str]]) -> None:
        self.method, self.target, self.fields = method, target, fields
        self.body = b""
        parts = urlsplit(target)
        self.path, self.query = parts.path, dict(parse_qsl(parts.query))

    def get(self, name: str) -> str:
        """Return the first value of a field, or an empty string."""
        return next((v for n, v in self.fields if n == name), "")


class Connection:
    """Connection of a peer to a stand-in."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer
        # Bytes of the last complete answer, and an extra copy that is still to come.
        self.last_answer = b""

    async def receive(self) -> Request | None:
        """Receive one request; None at the end of the connection."""
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            line, *rest = head.rstrip("\r\n").split("\r\n")
            method, target, _ = line.split(" ")
            fields = []
            for item in rest:
                name, _, value = item.partition(":")
                fields.append((name.strip().lower(), value.strip()))
            request = Request(method, target, fields)
            if request.get("transfer-encoding").lower() == "chunked":
                while size := int(await self.reader.readuntil(b"\r\n"), 16):
                    request.body += (await self.reader.readexactly(size + 2))[:-2]
                await self.reader.readuntil(b"\r\n")
            else:
                length = int(request.get("content-length") or 0)
                request.body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError):
            return None
        return request

    def answer(self, status: int, body: object = b"", *fields: str) -> None:
        """Send a complete answer."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
            fields = ("Content-Type: application/json", *fields)
        lines = [
            f"HTTP/1.1 {status} X",
            *fields,
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        self.last_answer = "\r\n".join(lines).encode() + body
        self.write(self.last_answer)

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closed."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Server:
    """HTTP server that calls a handler for each request, one at a time a connection."""

    def __init__(self, host: str, port: int, handle) -> None:
        self.host, self.port, self._handle = host, port, handle
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start it."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        try:
            while (request := await connection.receive()) is not None:
                await self._handle(connection, request)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The peer has left, or the test ends.
            pass
        finally:
            writer.close()


class Store:
    """The platform's store, which the programs read."""

    def __init__(self, host: str, port: int) -> None:
        self.address = f"{host}:{port}"
        self._server = Server(host, port, self._handle)
        self.revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        """Start it."""
        await self._server.start()

    async def put_config(self, folder: Path) -> None:
        """Write the configuration of a case."""
        await self.put(_STORE["config"], (folder / "config.json").read_bytes())

    async def put(self, key: str, value: object) -> None:
        """Write a value."""
        self.revision += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "rev": self.revision,
            "createdRev": known["createdRev"] if known else self.revision,
            "lease": 0,
        }
        self._items[key] = item
        await self._record(item)

    async def delete(self, key: str) -> None:
        """Delete a key."""
        self._items.pop(key, None)
        self.revision += 1
        await self._record({"key": key, "rev": self.revision, "deleted": True})

    async def _record(self, event: dict) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, connection: Connection, request: Request) -> None:
        query = request.query
        if request.path == _STORE["item"]:
            item = self._items.get(query["key"])
            if item is None:
                connection.answer(404, {_STORE["revision"]: self.revision})
            else:
                connection.answer(200, {**item, _STORE["revision"]: self.revision})
        elif request.path == _STORE["range"]:
            keys = sorted(
                k for k in self._items if k.startswith(query[_STORE["prefix"]])
            )
            items = [self._items[k] for k in keys if k > query.get("after", "")]
            connection.answer(
                200,
                {
                    "items": items,
                    _STORE["more"]: False,
                    _STORE["revision"]: self.revision,
                },
            )
        elif request.path == _STORE["watch"]:
            prefix, after = query[_STORE["prefix"]], int(query["after"])

            def found() -> list[dict]:
                return [
                    e
                    for e in self._events
                    if e["rev"] > after and e["key"].startswith(prefix)
                ]

            try:
                async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                    await self._changed.wait_for(found)
            except TimeoutError:
                pass
            connection.answer(
                200, {"events": found(), _STORE["revision"]: self.revision}
            )
        else:
            connection.answer(404)


def free_ports(count: int, hosts: list[str]) -> list[int]:
    """Return ports on which nothing listens on any of the hosts."""
    found: list[int] = []
    for port in random.sample(range(12_000, 32_000), 2_000):
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


class Program:
    """One program of the deploy file, as a process."""

    def __init__(self, role: str, name: str, folder: Path, values: dict) -> None:
        self.name, self._role = name, role
        template = (ROOT / "deploy" / f"{role}.ini").read_text()
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values[m[1]]), template)
        self._settings = folder / f"{name}.ini"
        self._settings.write_text(text)
        self.log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env[SETTINGS["variable"]] = str(self._settings)
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "sardineyard.platform",
                self._role,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the end of the process and return its code."""
        return await self._process.wait()

    async def kill(self) -> None:
        """End the process at once."""
        if self.is_running:
            self._process.kill()
            await self._process.wait()


def service_entry(service: str, address: str, slots: int, **fields: object) -> dict:
    """Return the entry of a runner in the store."""
    return {
        **WIRE["entry"],
        "service": service,
        "address": address,
        "slots": slots,
        "born": int(time.time() * 1000),
        **fields,
    }


def gateway_values(
    number: int,
    host: str,
    ports: dict[str, int],
    store: Store,
    seeds: str,
    grace_s: int = 8,
) -> dict:
    """Return the fields of the platform that the template of the gateway uses."""
    return {
        SETTINGS["name"]: f"front-a-{number}",
        "zone": "zone-a",
        "ip": host,
        SETTINGS["first_port"]: ports["admin"],
        SETTINGS["second_port"]: ports["beacon"],
        "bounds.graceS": grace_s,
        "bounds.budgetRatio": 0.2,
        "bounds.budgetExtra": 188,
        "bounds.budgetWindowS": 10,
        "platform.address": store.address,
        "seeds": seeds,
        "listen.front": f"{host}:{ports['front']}",
        "listen.ready": f"{host}:{ports['ready']}",
        "listen.control": f"{host}:{ports['control']}",
    }


async def wait_ready(host: str, port: int, timeout_s: float = 20.0) -> None:
    """Wait until a gateway answers its readiness with 200."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /readiness HTTP/1.1\r\nhost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            if b" 200 " in line:
                return
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.1)
    raise RuntimeError("a gateway is not ready")


def main(case, folder: Path, limit_s: float = 110.0) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    import tempfile

    record = Record(folder)

    async def run() -> int:
        programs: list[Program] = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(limit_s):
                    return await case(record, Path(temporary), programs)
            except Exception as error:
                record(f"the case could not run: {error!r}")
                return 2
            finally:
                for program in programs:
                    await program.kill()

    code = asyncio.run(run())
    record(f"exit code {code}")
    sys.exit(code)
