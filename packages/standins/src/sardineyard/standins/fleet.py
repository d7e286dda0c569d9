"""Fleet of real processes on loopback."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.core.address import Address
from sardineyard.httpio.client import ResponseError, fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.standins.processes import ChildProcess, free_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path
    from types import TracebackType

    from sardineyard.httpio.messages import HttpResponse

TEAM_KEY = "demo-team-key"
MODEL = "demo-model"
SERVICE = "booking"
FLEET_KEY = "fleet-key-of-the-stand-ins"

_READY_TIMEOUT_S = 20.0
_POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """Number of processes of a fleet, and speed of its stand-ins."""

    entries: int = 1
    model_runners: int = 2
    booking_runners: int = 1
    slots: int = 32
    token_interval_s: float = 0.01
    prefill_s: float = 0.01
    booking_delay_s: float = 0.01
    drain_timeout_s: float = 20.0
    domains: int = 3


@dataclass(slots=True)
class DaemonAddresses:
    """Listening addresses of one daemon."""

    admin: Address = field(default_factory=lambda: loopback(free_port()))
    peer: Address = field(default_factory=lambda: loopback(free_port()))
    caller: Address = field(default_factory=lambda: loopback(free_port()))


def loopback(port: int) -> Address:
    """Return the loopback address with a port."""
    return Address("127.0.0.1", port)


class Fleet:
    """Processes of one fleet, with helpers that call and control them."""

    def __init__(self, spec: FleetSpec, folder: Path) -> None:
        self.spec = spec
        self.folder = folder
        self.processes: dict[str, ChildProcess] = {}
        self.ports: dict[str, DaemonAddresses] = {}
        self.runners: dict[str, Address] = {}
        self.platform = loopback(free_port())
        self.document: dict[str, Any] = {}

    async def __aenter__(self) -> Fleet:
        """Start all processes and wait until the daemons are ready and connected."""
        try:
            await self._start_all()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        await self.stop()

    @property
    def entries(self) -> list[str]:
        """Return the names of the entries."""
        return [f"entry-{number + 1}" for number in range(self.spec.entries)]

    @property
    def model_upstreams(self) -> list[str]:
        """Return the ids of the model runners."""
        return [f"model-{number + 1}" for number in range(self.spec.model_runners)]

    @property
    def booking_upstreams(self) -> list[str]:
        """Return the ids of the booking runners."""
        return [f"booking-{number + 1}" for number in range(self.spec.booking_runners)]

    def caller_address(self, entry: str = "entry-1") -> Address:
        """Return the address at which an entry accepts callers."""
        return self.ports[entry].caller

    def advertised_address(self, name: str) -> Address:
        """Return the address under which other processes reach a daemon."""
        return self.ports[name].peer

    async def start(self, name: str) -> None:
        """Start one process of the fleet."""
        await self.processes[name].start()

    async def stop(self) -> None:
        """Stop all processes, entries and agents first."""
        daemons = [
            name for name in self.processes if name.startswith(("entry", "agent"))
        ]
        other_names = [name for name in self.processes if name not in daemons]
        for names in (daemons, other_names):
            await asyncio.gather(*(self.processes[name].stop() for name in names))

    async def publish(self, document: dict[str, Any]) -> None:
        """Publish a document on the platform."""
        self.document = document
        await self.control_platform({"document": document})

    async def control_platform(self, change: dict[str, Any]) -> None:
        """Send a control message to the platform."""
        body = msgspec.json.encode(change)
        await fetch(self.platform, HttpRequest("POST", "/control", {}, body), 5.0)

    async def call(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        entry: str = "entry-1",
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> HttpResponse:
        """Send a request to an entry with the key of the demo team."""
        all_headers = {"authorization": f"Bearer {TEAM_KEY}", **(headers or {})}
        data = b"" if body is None else msgspec.json.encode(body)
        request = HttpRequest(method, target, all_headers, data)
        return await fetch(self.caller_address(entry), request, timeout_s)

    async def record(self, upstream: str) -> list[dict[str, Any]]:
        """Return all runs that a booking runner recorded."""
        response = await fetch(
            self.runners[upstream], HttpRequest("GET", "/record"), 5.0
        )
        runs: list[dict[str, Any]] = msgspec.json.decode(response.body)
        return runs

    async def state(self, name: str) -> dict[str, Any]:
        """Return the state dump of a daemon."""
        response = await fetch(
            self.ports[name].admin, HttpRequest("GET", "/state"), 5.0
        )
        state: dict[str, Any] = msgspec.json.decode(response.body)
        return state

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon reports that it is ready."""
        address = self.ports[name].admin
        await self._poll(lambda: _responds_ok(address, "/readyz"))

    async def wait_for_sessions(self, entry: str, upstreams: int) -> None:
        """Wait until an entry has sessions with at least a number of agents."""

        async def has_sessions() -> bool:
            table = (await self.state(entry))["upstreams"]
            return sum(row["state"] == "live" for row in table) >= upstreams

        await self._poll(has_sessions)

    async def _poll(self, condition: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(_READY_TIMEOUT_S):
            # Polled, as other processes cannot set an asyncio event of this one.
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(_POLL_S)

    async def _start_all(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        upstreams = [*self.model_upstreams, *self.booking_upstreams]
        for upstream in upstreams:
            self.runners[upstream] = loopback(free_port())
            self.ports[f"agent-{upstream}"] = DaemonAddresses()
        for entry in self.entries:
            self.ports[entry] = DaemonAddresses()
        self.document = self.initial_document()
        self._add_platform()
        for upstream in upstreams:
            self._add_runner(upstream)
            self.add_agent(upstream, f"agent-{upstream}")
        for entry in self.entries:
            self._add_entry(entry)
        await asyncio.gather(*(process.start() for process in self.processes.values()))
        daemons = [name for name in self.processes if name in self.ports]
        await asyncio.gather(*(self.wait_ready(name) for name in daemons))
        await asyncio.gather(
            *(self.wait_for_sessions(entry, len(upstreams)) for entry in self.entries)
        )

    def initial_document(self) -> dict[str, Any]:
        """Return the document with which the fleet starts."""
        key = hashlib.sha256(TEAM_KEY.encode()).hexdigest()
        upstreams = [
            self._upstream(name, "model_runner", position)
            for position, name in enumerate(self.model_upstreams)
        ] + [
            self._upstream(name, "plain_service", position)
            for position, name in enumerate(self.booking_upstreams)
        ]
        services = (
            [{"name": SERVICE, "upstreams": self.booking_upstreams}]
            if self.booking_upstreams
            else []
        )
        return {
            "version": 1,
            "priorities": [
                _priority("urgent", 0.5, 5.0, 10.0, 0.5),
                _priority("pressing", 2.0, 20.0, 3.0, 0.2),
                _priority("batch", 30.0, 300.0, 1.0, 0.1),
            ],
            "teams": [
                {"id": "demo", "key_sha256": key, "default_priority": "pressing"}
            ],
            "upstreams": upstreams,
            "services": services,
        }

    def _upstream(self, name: str, kind: str, position: int) -> dict[str, Any]:
        return {
            "id": name,
            "kind": kind,
            "agent_address": str(self.advertised_address(f"agent-{name}")),
            "failure_domain": f"domain-{position % self.spec.domains + 1}",
            "models": [MODEL] if kind == "model_runner" else [],
            "slots": self.spec.slots,
        }

    def add_process(self, name: str, module: str, arguments: list[str]) -> None:
        """Add a process without starting it."""
        log = self.folder / f"{name}.log"
        self.processes[name] = ChildProcess(name, module, arguments, log)

    def _add_platform(self) -> None:
        path = self.folder / "document.json"
        path.write_bytes(msgspec.json.encode(self.document))
        arguments = ["--address", str(self.platform), "--document", str(path)]
        self.add_process("platform", "sardineyard.standins.platform", arguments)

    def _add_runner(self, upstream: str) -> None:
        arguments = ["--address", str(self.runners[upstream])]
        if upstream in self.model_upstreams:
            arguments += ["--slots", str(self.spec.slots)]
            arguments += ["--token-interval-s", str(self.spec.token_interval_s)]
            arguments += ["--prefill-s", str(self.spec.prefill_s)]
            module = "sardineyard.standins.model_runner"
        else:
            arguments += ["--delay-s", str(self.spec.booking_delay_s)]
            module = "sardineyard.standins.booking_runner"
        self.add_process(upstream, module, arguments)

    def add_agent(self, upstream: str, name: str) -> None:
        """Add an agent for an upstream without starting it."""
        kind = "model_runner" if upstream in self.model_upstreams else "plain_service"
        section = {
            "upstream": upstream,
            "upstream_kind": kind,
            "upstream_address": str(self.runners[upstream]),
        }
        self._add_daemon(name, "agent", section)

    def _add_entry(self, entry: str) -> None:
        section = {"caller_address": str(self.ports[entry].caller)}
        self._add_daemon(entry, "entry", section)

    def _add_daemon(self, name: str, role: str, section: dict[str, str]) -> None:
        ports = self.ports[name]
        sections = {
            "process": {
                "id": name,
                "failure_domain": self._failure_domain(name),
                "admin_address": str(ports.admin),
                "peer_address": str(ports.peer),
                "advertised_address": str(self.advertised_address(name)),
                "drain_timeout_s": str(self.spec.drain_timeout_s),
            },
            "fleet": {"key": FLEET_KEY},
            "platform": {"address": str(self.platform)},
            "peers": {"seeds": self._seeds(name)},
            role: section,
        }
        path = self.folder / f"{name}.ini"
        path.write_text(_format_ini(sections))
        self.add_process(name, f"sardineyard.{role}", ["--settings", str(path)])

    def _failure_domain(self, name: str) -> str:
        """Return the failure domain of a process, assigned as those of upstreams."""
        number = int(name.rpartition("-")[2].partition(".")[0])
        return f"domain-{(number - 1) % self.spec.domains + 1}"

    def _seeds(self, name: str) -> str:
        other_names = (other for other in self.ports if other != name)
        return ", ".join(str(self.advertised_address(other)) for other in other_names)


def _priority(
    name: str, first_token_s: float, finish_s: float, worth: float, share: float
) -> dict[str, Any]:
    return {
        "name": name,
        "first_token_target_s": first_token_s,
        "finish_target_s": finish_s,
        "worth": worth,
        "reserved_share": share,
    }


def _format_ini(sections: dict[str, dict[str, str]]) -> str:
    lines = []
    for section, options in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{name} = {value}" for name, value in options.items()]
        lines.append("")
    return "\n".join(lines)


async def _responds_ok(address: Address, target: str) -> bool:
    try:
        response = await fetch(address, HttpRequest("GET", target), 1.0)
    except (OSError, TimeoutError, ResponseError):
        return False
    return response.status == 200
