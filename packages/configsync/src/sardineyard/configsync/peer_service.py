"""gRPC service through which processes exchange state, documents and identities."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sardineyard.configsync.dialing import identify
from sardineyard.configsync.messages import DocumentRequested, ExchangeRequested
from sardineyard.core.address import parse_address
from sardineyard.core.control import ControlChannel, Direction
from sardineyard.core.mailbox import Reply
from sardineyard.wire import peer_pb2 as pb
from sardineyard.wire.peer_grpc import PeerBase

if TYPE_CHECKING:
    from grpclib.server import Stream

    from sardineyard.configsync.messages import DocumentAdopted
    from sardineyard.core.control import ControlMeter
    from sardineyard.core.ids import Incarnation, ProcessId
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.wire.dialer import Dialer


class PeerService(PeerBase):
    """Handler of the `Peer` service calls of other processes."""

    def __init__(
        self,
        process: ProcessId,
        incarnation: Incarnation,
        follower: Mailbox[Any],
        exchange: Mailbox[Any],
        dialer: Dialer,
        meter: ControlMeter,
    ) -> None:
        self._dialer = dialer
        self._process = process
        self._incarnation = incarnation
        self._follower = follower
        self._exchange = exchange
        self._meter = meter

    async def Exchange(self, stream: Stream[pb.PeerState, pb.PeerState]) -> None:  # noqa: N802
        """Receive the state of a peer and reply with the local state."""
        state = await stream.recv_message()
        if state is None:
            return
        reply: Reply[pb.PeerState] = Reply()
        self._exchange.post(ExchangeRequested(state, reply))
        response = await reply.wait()
        self._count(Direction.RECEIVED, state.ByteSize())
        self._count(Direction.SENT, response.ByteSize())
        await stream.send_message(response)

    async def FetchDocument(  # noqa: N802
        self, stream: Stream[pb.FetchDocumentRequest, pb.FetchDocumentReply]
    ) -> None:
        """Reply with the bytes of the document in force, empty if there is none."""
        await stream.recv_message()
        reply: Reply[DocumentAdopted | None] = Reply()
        self._follower.post(DocumentRequested(reply))
        current = await reply.wait()
        response = pb.FetchDocumentReply(
            version=current.order.version if current else 0,
            document=current.raw if current else b"",
        )
        self._count(Direction.SENT, response.ByteSize())
        await stream.send_message(response)

    async def Identify(  # noqa: N802
        self, stream: Stream[pb.IdentifyRequest, pb.IdentifyReply]
    ) -> None:
        """Reply with the process ID and the incarnation."""
        await stream.recv_message()
        await stream.send_message(
            pb.IdentifyReply(process=self._process, incarnation=self._incarnation)
        )

    async def DialBack(  # noqa: N802
        self, stream: Stream[pb.DialBackRequest, pb.DialBackReply]
    ) -> None:
        """Dial an address over a new connection and report which process replies."""
        request = await stream.recv_message()
        assert request is not None
        reply = await identify(parse_address(request.address), self._dialer)
        if reply is None:
            await stream.send_message(pb.DialBackReply(reached=False))
            return
        await stream.send_message(
            pb.DialBackReply(
                reached=True, process=reply.process, incarnation=reply.incarnation
            )
        )

    def _count(self, direction: Direction, size: int) -> None:
        self._meter.count_control_message(ControlChannel.PEER, direction, size)
