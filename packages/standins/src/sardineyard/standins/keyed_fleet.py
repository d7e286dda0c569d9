"""Fleet whose booking agents can be replaced, disconnected and reassigned."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.core.clock import SystemClock, deadline_after
from sardineyard.core.errors import Outcome
from sardineyard.core.ids import (
    Fingerprint,
    Incarnation,
    PriorityName,
    ProcessId,
    RequestId,
    ServiceName,
    TeamId,
    UpstreamId,
)
from sardineyard.core.requests import CallFailed, ServiceCall, ServiceResponse
from sardineyard.core.states import ProcessRole
from sardineyard.httpio.client import ResponseError, fetch
from sardineyard.httpio.messages import HttpRequest
from sardineyard.idempotency.keys import ScopedKey, parse_key
from sardineyard.idempotency.ownership import owner_of
from sardineyard.standins.demo import new_key
from sardineyard.standins.fleet import (
    FLEET_KEY,
    SERVICE,
    DaemonAddresses,
    Fleet,
    loopback,
)
from sardineyard.standins.processes import free_port
from sardineyard.wire.agent_frames import from_event
from sardineyard.wire.credentials import Caller, Credentials
from sardineyard.wire.dialer import Dialer
from sardineyard.wire.entry_frames import to_frame
from sardineyard.wire.session_grpc import AgentStub

if TYPE_CHECKING:
    from pathlib import Path

    from sardineyard.core.address import Address
    from sardineyard.core.requests import CallEvent
    from sardineyard.standins.fleet import FleetSpec

# All processes of a test read the same clock, but the limit has to be above zero.
CLOCK_SKEW_S = 0.1
# Short, as keys without a creation time are refused for this long after a restart.
UNTIMED_WINDOW_S = 3.0
# Number of earlier upstream sets of a service that a new document lists.
_LISTED_SETS = 6
_TEAM = TeamId("demo")


@dataclass(frozen=True, slots=True)
class Booking:
    """Result of one booking attempt, as the caller receives it."""

    outcome: Outcome
    status: int = 0
    kind: str = ""
    body: bytes = b""


class KeyedFleet(Fleet):
    """Fleet with a controllable proxy in front of every booking agent."""

    def __init__(self, spec: FleetSpec, folder: Path) -> None:
        super().__init__(spec, folder)
        self._proxies: dict[str, tuple[Address, Address]] = {}
        self._successors = 0

    def initial_document(self) -> dict[str, Any]:
        """Return the document with which the fleet starts."""
        limits = {
            "max_clock_skew_s": CLOCK_SKEW_S,
            "untimed_key_window_s": UNTIMED_WINDOW_S,
        }
        return {**super().initial_document(), "limits": limits}

    def advertised_address(self, name: str) -> Address:
        """Return the address of the proxy in front of a booking agent."""
        upstream = name.removeprefix("agent-").partition(".")[0]
        if upstream not in self.booking_upstreams:
            return super().advertised_address(name)
        if upstream not in self._proxies:
            self._proxies[upstream] = (loopback(free_port()), loopback(free_port()))
        return self._proxies[upstream][0]

    async def control_proxy(self, upstream: str, **change: Any) -> None:
        """Send a control message to the proxy in front of a booking agent."""
        body = msgspec.json.encode(change)
        control = self._proxies[upstream][1]
        await fetch(control, HttpRequest("POST", "/control", {}, body), 5.0)

    async def control_runner(self, upstream: str, **change: Any) -> None:
        """Send a control message to a booking runner."""
        body = msgspec.json.encode(change)
        request = HttpRequest("POST", "/control", {}, body)
        await fetch(self.runners[upstream], request, 5.0)

    async def start_successor(self, upstream: str) -> str:
        """Start another agent at the address of an upstream and return its name."""
        self._successors += 1
        name = f"agent-{upstream}.successor-{self._successors}"
        self.ports[name] = DaemonAddresses()
        self.add_agent(upstream, name)
        await self.start(name)
        await self.control_proxy(upstream, target=str(self.ports[name].peer))
        return name

    async def move_service(self, upstreams: list[str]) -> None:
        """Publish a document that assigns the booking service to other upstreams."""
        service = self._service
        earlier = [service["upstreams"], *service.get("previous_upstreams", [])]
        moved_service = {
            **service,
            "upstreams": upstreams,
            "previous_upstreams": earlier[:_LISTED_SETS],
        }
        version = self.document["version"] + 1
        await self.publish(
            {**self.document, "version": version, "services": [moved_service]}
        )

    async def book(
        self,
        key: str,
        *,
        entry: str = "entry-1",
        timeout_s: float = 10.0,
        first: bool = False,
    ) -> Booking:
        """Send one attempt of a booking and return its result."""
        headers = {
            "idempotency-key": key,
            "x-timeout-ms": str(int(timeout_s * 1000)),
        }
        if first:
            headers["x-attempt"] = "1"
        try:
            response = await self.call(
                "POST",
                f"/services/{SERVICE}/bookings",
                {"ship": key},
                entry=entry,
                headers=headers,
                timeout_s=timeout_s + 1.0,
            )
        except (OSError, TimeoutError, ResponseError) as error:
            return Booking(Outcome.UNKNOWN, kind=type(error).__name__)
        if response.headers.get("content-type") != "application/problem+json":
            return Booking(Outcome.RAN, response.status, "", response.body)
        problem = msgspec.json.decode(response.body)
        outcome = Outcome(problem["outcome"])
        detail = f"{problem['kind']}: {problem.get('detail', '')}"
        return Booking(outcome, response.status, detail)

    def new_key_owned_by(self, upstream: str) -> str:
        """Return a new key that an upstream owns under the current document."""
        upstreams = [UpstreamId(each) for each in self._service["upstreams"]]
        while True:
            text = new_key()
            scoped = ScopedKey(_TEAM, ServiceName(SERVICE), parse_key(text).unwrap())
            if owner_of(scoped, upstreams) == upstream:
                return text

    async def send_directly(self, name: str, key: str) -> CallEvent:
        """Send an attempt straight to an agent, like an entry with an old session."""
        address = self.ports[name].peer
        incarnation = Incarnation((await self.state(name))["incarnation"])
        clock = SystemClock()
        call = ServiceCall(
            RequestId("direct"),
            _TEAM,
            PriorityName("pressing"),
            ServiceName(SERVICE),
            "POST",
            "/bookings",
            b"{}",
            deadline_after(clock, 5.0),
            Fingerprint("direct"),
            repeatable=False,
            idempotency_key=key,
            incarnation=incarnation,
        )
        caller = Caller(ProcessId("direct"), ProcessRole.ENTRY)
        channel = Dialer(Credentials(caller, FLEET_KEY), clock).open(address)
        try:
            async with AgentStub(channel).Session.open() as stream:
                await stream.send_message(to_frame(call, clock))
                async for frame in stream:
                    for encoded in frame.events:
                        event = from_event(encoded)
                        if isinstance(event, ServiceResponse | CallFailed):
                            await stream.cancel()
                            return event
        finally:
            channel.close()
        raise ConnectionError("the agent closed the session")

    async def wait_run(self, key: str) -> None:
        """Wait until a booking runner has recorded a run of a key."""
        await self._poll(lambda: self._has_run(key))

    async def wait_version(self, version: int) -> None:
        """Wait until all running daemons have adopted a version of the document."""
        for name in self.ports:
            if self.processes[name].is_running:
                await self._poll(partial(self._has_version, name, version))

    async def count_runs(self, key: str) -> int:
        """Return the number of recorded runs of a key."""
        return sum(run["key"] == key for run in await self.runs())

    async def _has_run(self, key: str) -> bool:
        return await self.count_runs(key) > 0

    async def _has_version(self, name: str, version: int) -> bool:
        document = (await self.state(name))["document"]
        return document is not None and bool(document["version"] >= version)

    @property
    def _service(self) -> dict[str, Any]:
        service: dict[str, Any] = self.document["services"][0]
        return service

    async def runs(self) -> list[dict[str, Any]]:
        """Return all runs that the booking runners recorded."""
        return [
            run
            for upstream in self.booking_upstreams
            for run in await self.record(upstream)
        ]

    def add_agent(self, upstream: str, name: str) -> None:
        """Add an agent, and a proxy with the first agent of a booking runner."""
        super().add_agent(upstream, name)
        proxy = f"proxy-{upstream}"
        if upstream in self.booking_upstreams and proxy not in self.processes:
            listen, control = self._proxies[upstream]
            target = self.ports[name].peer
            arguments = ["--address", str(control), "--listen", str(listen)]
            arguments += ["--target", str(target)]
            self.add_process(proxy, "sardineyard.standins.proxy", arguments)
