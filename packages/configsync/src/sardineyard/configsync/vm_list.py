"""Task that polls the platform's VM list."""

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

_REQUEST_TIMEOUT_S = 2.0


class _Vm(msgspec.Struct, frozen=True):
    vm: str
    address: str
    state: str


class VmListReader:
    """Polls the VM list at jittered intervals and sends it to one mailbox."""

    def __init__(
        self, platform: Address, receiver: Mailbox[Any], random: Random
    ) -> None:
        self.mailbox: Mailbox[FleetViewChanged] = Mailbox()
        self._platform = platform
        self._receiver = receiver
        self._random = random
        self._view = FleetView(1, Role.POLLER)

    async def run(self) -> None:
        """Poll the VM list until cancelled."""
        while True:
            while (message := self.mailbox.receive_nowait()) is not None:
                self._view = message.view
            await asyncio.sleep(vm_list_delay(self._view, self._random))
            request = HttpRequest("GET", "/v1/vms")
            try:
                response = await fetch(self._platform, request, _REQUEST_TIMEOUT_S)
            except (OSError, TimeoutError, ResponseError):
                continue
            if response.status == 200:
                self._forward(response.body)

    def _forward(self, body: bytes) -> None:
        try:
            vm_list = decode_vm_list(body)
        except (msgspec.DecodeError, ValueError) as error:
            _logger.warning(
                "ignored a malformed VM list",
                extra={"event": "vm_list_ignored", "reason": str(error)},
            )
            return
        # An empty list is treated as a platform fault, not as an empty fleet.
        if vm_list.live or vm_list.leaving:
            self._receiver.offer(vm_list)


def decode_vm_list(body: bytes) -> VmListRead:
    """Decode the VM list; raise DecodeError or ValueError if it is malformed."""
    addresses: dict[str, set[Address]] = {"live": set(), "leaving": set()}
    for vm in msgspec.json.decode(body, type=tuple[_Vm, ...]):
        if vm.state in addresses:
            addresses[vm.state].add(parse_address(vm.address))
    return VmListRead(frozenset(addresses["live"]), frozenset(addresses["leaving"]))
