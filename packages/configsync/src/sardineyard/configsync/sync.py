"""Entry point of the package: the connected config sync tasks of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sardineyard.configsync.exchange import PeerExchange
from sardineyard.configsync.follower import ConfigFollower
from sardineyard.configsync.messages import DumpPeers
from sardineyard.configsync.peer_service import PeerService
from sardineyard.configsync.vm_list import VmListReader
from sardineyard.core.mailbox import Reply

if TYPE_CHECKING:
    from random import Random

    from sardineyard.configsync.members import PeerMember
    from sardineyard.configsync.messages import DocumentAdopted
    from sardineyard.core.address import Address
    from sardineyard.core.clock import Clock
    from sardineyard.core.control import ControlMeter
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.core.tasks import TaskSet
    from sardineyard.wire.dialer import Dialer


class ConfigSync:
    """Connects the follower, the peer exchange, the peer service and the VM list."""

    def __init__(
        self,
        local_member: PeerMember,
        platform: Address,
        seeds: tuple[Address, ...],
        clock: Clock,
        random: Random,
        dialer: Dialer,
        meter: ControlMeter,
    ) -> None:
        self._platform = platform
        self._random = random
        self._vm_list: VmListReader | None = None
        self._follower = ConfigFollower(platform, clock, random, meter)
        self._exchange = PeerExchange(
            local_member, seeds, self._follower.mailbox, clock, random, dialer, meter
        )
        self.subscribe(self._exchange.mailbox)
        self.peer_service = PeerService(
            local_member.process,
            local_member.incarnation,
            self._follower.mailbox,
            self._exchange.mailbox,
            dialer,
            meter,
        )

    @property
    def current(self) -> DocumentAdopted | None:
        """Return the document in force, if there is one."""
        return self._follower.current

    def subscribe(self, mailbox: Mailbox[Any]) -> None:
        """Send each document that comes into force to a mailbox."""
        self._follower.subscribe(mailbox)

    def subscribe_vm_list(self, receiver: Mailbox[Any]) -> None:
        """Poll the platform's VM list and send it to a mailbox."""
        self._vm_list = VmListReader(self._platform, receiver, self._random)
        self._follower.subscribe_view(self._vm_list.mailbox)

    def start(self, tasks: TaskSet) -> None:
        """Start the tasks; the server of the peer service must already be listening."""
        tasks.start("config-follower", self._follower.run())
        tasks.start("peer-exchange", self._exchange.run())
        if self._vm_list is not None:
            tasks.start("vm-list-reader", self._vm_list.run())

    def subscribe_crashes(self, mailbox: Mailbox[Any]) -> Mailbox[Any]:
        """Send crash counts of peers to a mailbox; return the one for local counts."""
        self._exchange.subscribe_crashes(mailbox)
        return self._exchange.mailbox

    async def dump(self) -> dict[str, object]:
        """Return the document order and the peer state for the process dump."""
        reply: Reply[dict[str, object]] = Reply()
        self._exchange.mailbox.post(DumpPeers(reply))
        order = self.current.order if self.current else None
        return {
            "version": order.version if order else None,
            "digest": order.digest if order else None,
            **await reply.wait(),
        }
