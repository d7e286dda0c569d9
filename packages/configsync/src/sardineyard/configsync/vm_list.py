"""Task that reads the platform's list of VMs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.configsync.messages import VmListRead
from sardineyard.configsync.read_schedule import FleetView, Role, vm_list_delay
from sardineyard.core.address import parse_address
from sardineyard.core.mailbox import Mailbox
from sardineyard.httpio.client import ResponseError, fetch
from sardineyard.httpio.messages import HttpRequest

if TYPE_CHECKING:
    from random import Random

    from sardineyard.configsync.messages import FleetViewChanged
    from sardineyard.core.address import Address

_logger = logging.getLogger(__name__)

_TIMEOUT_S = 2.0


class _Vm(msgspec.Struct, frozen=True):
    vm: str
    address: str
    state: str


class VmListReader:
    """Read the list now and then and hand it to one mailbox."""

    def __init__(
        self, platform: Address, receiver: Mailbox[Any], random: Random
    ) -> None:
        self.mailbox: Mailbox[FleetViewChanged] = Mailbox()
        self._platform = platform
        self._receiver = receiver
        self._random = random
        self._view = FleetView(1, Role.POLLER)

    async def run(self) -> None:
        """Read for ever."""
        while True:
            while (message := self.mailbox.take()) is not None:
                self._view = message.view
            await asyncio.sleep(vm_list_delay(self._view, self._random))
            request = HttpRequest("GET", "/v1/vms")
            try:
                response = await fetch(self._platform, request, _TIMEOUT_S)
            except (OSError, TimeoutError, ResponseError):
                continue
            if response.status == 200:
                self._hand_on(response.body)

    def _hand_on(self, body: bytes) -> None:
        try:
            report = decode_vm_list(body)
        except (msgspec.DecodeError, ValueError) as error:
            _logger.warning(
                "ignored an unreadable list of VMs",
                extra={"event": "vm_list_ignored", "reason": str(error)},
            )
            return
        # An empty list is taken for a fault of the platform, not for an empty fleet.
        if report.live or report.leaving:
            self._receiver.offer(report)


def decode_vm_list(body: bytes) -> VmListRead:
    """Decode the platform's list; raise DecodeError or ValueError."""
    found: dict[str, set[Address]] = {"live": set(), "leaving": set()}
    for vm in msgspec.json.decode(body, type=tuple[_Vm, ...]):
        if vm.state in found:
            found[vm.state].add(parse_address(vm.address))
    return VmListRead(frozenset(found["live"]), frozenset(found["leaving"]))
