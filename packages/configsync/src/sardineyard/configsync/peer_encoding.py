"""Conversion of members and document order from and to protobuf messages."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardineyard.configsync.members import PeerMember
from sardineyard.core.address import parse_address
from sardineyard.core.ids import FailureDomain, Incarnation, ProcessId
from sardineyard.document.model import DocumentDigest, DocumentVersion
from sardineyard.document.order import DocumentOrder
from sardineyard.wire import peer_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

_logger = logging.getLogger(__name__)


def encode_member(member: PeerMember, now: float) -> pb.Member:
    """Encode a member with an age, as clocks differ between processes."""
    return pb.Member(
        process=member.process,
        address=str(member.address),
        incarnation=member.incarnation,
        failure_domain=member.failure_domain,
        heard_ms_ago=max(0, int((now - member.last_heard_at) * 1000)),
    )


def decode_members(members: Iterable[pb.Member], now: float) -> list[PeerMember]:
    """Decode members and omit those with an invalid address."""
    decoded = []
    for member in members:
        try:
            address = parse_address(member.address)
        except ValueError:
            _logger.warning(
                "ignored a member with an invalid address",
                extra={"event": "member_ignored", "member": member.process},
            )
            continue
        decoded.append(
            PeerMember(
                ProcessId(member.process),
                address,
                Incarnation(member.incarnation),
                FailureDomain(member.failure_domain),
                now - member.heard_ms_ago / 1000,
            )
        )
    return decoded


def document_order(state: pb.PeerState) -> DocumentOrder | None:
    """Return the order of the sender's document, or None if it has no document."""
    if not state.document_digest:
        return None
    return DocumentOrder(
        DocumentVersion(state.document_version), DocumentDigest(state.document_digest)
    )
