"""The gRPC service through which processes learn about each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineyard.configsync.dialing import identify
from sardineyard.core.address import parse_address
from sardineyard.wire import peer_pb2 as pb
from sardineyard.wire.peer_grpc import PeerBase

if TYPE_CHECKING:
    from grpclib.server import Stream

    from sardineyard.configsync.follower import ConfigFollower
    from sardineyard.core.ids import Incarnation, ProcessId


class PeerService(PeerBase):
    """Answer other processes about identity and the document in force."""

    def __init__(
        self, process: ProcessId, incarnation: Incarnation, follower: ConfigFollower
    ) -> None:
        self._process = process
        self._incarnation = incarnation
        self._follower = follower

    async def Exchange(self, stream: Stream[pb.PeerState, pb.PeerState]) -> None:  # noqa: N802
        """Answer with the order of the document in force."""
        await stream.recv_message()
        current = self._follower.current
        await stream.send_message(
            pb.PeerState(
                document_version=current.order.version if current else 0,
                document_digest=current.order.digest if current else "",
            )
        )

    async def FetchDocument(  # noqa: N802
        self, stream: Stream[pb.FetchDocumentRequest, pb.FetchDocumentReply]
    ) -> None:
        """Answer with the bytes of the document in force."""
        await stream.recv_message()
        current = self._follower.current
        await stream.send_message(
            pb.FetchDocumentReply(
                version=current.order.version if current else 0,
                document=current.raw if current else b"",
            )
        )

    async def Identify(  # noqa: N802
        self, stream: Stream[pb.IdentifyRequest, pb.IdentifyReply]
    ) -> None:
        """Answer with the process and its incarnation."""
        await stream.recv_message()
        await stream.send_message(
            pb.IdentifyReply(process=self._process, incarnation=self._incarnation)
        )

    async def DialBack(  # noqa: N802
        self, stream: Stream[pb.DialBackRequest, pb.DialBackReply]
    ) -> None:
        """Dial an address over a new connection and report who answers there."""
        request = await stream.recv_message()
        assert request is not None
        reply = await identify(parse_address(request.address))
        if reply is None:
            await stream.send_message(pb.DialBackReply(reached=False))
            return
        await stream.send_message(
            pb.DialBackReply(
                reached=True, process=reply.process, incarnation=reply.incarnation
            )
        )
