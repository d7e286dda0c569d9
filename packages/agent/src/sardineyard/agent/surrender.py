"""Surrender queries to the previous owners of a key, and their encoding.

A previous owner that surrenders a key promises never to run it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from grpclib.exceptions import GRPCError, StreamTerminatedError
from returns.result import Success

from sardineyard.agent.key_messages import PreviousOwnersReplied
from sardineyard.core.clock import WallTime
from sardineyard.core.ids import Fingerprint, ServiceName, TeamId
from sardineyard.idempotency.keys import ScopedKey, parse_key
from sardineyard.idempotency.messages import (
    StoredResponse,
    SurrenderQuery,
    SurrenderResult,
    SurrenderState,
)
from sardineyard.wire import session_pb2 as pb
from sardineyard.wire.session_grpc import AgentStub

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.address import Address
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.idempotency.messages import QueryPreviousOwners
    from sardineyard.wire.dialer import Dialer

_QUERY_TIMEOUT_S = 0.5
# A previous owner that is still running the call is polled until the call has ended.
_POLL_INTERVAL_S = 0.2
_MAX_POLLS = 25

_STATES = {
    SurrenderState.UNKNOWN: pb.SurrenderReply.UNKNOWN,
    SurrenderState.RAN: pb.SurrenderReply.RAN,
    SurrenderState.NEVER_RUNS: pb.SurrenderReply.NEVER_RUNS,
    SurrenderState.RUNNING: pb.SurrenderReply.RUNNING,
}
_STATES_BY_NUMBER = {number: state for state, number in _STATES.items()}


async def query_previous_owners(
    decision: QueryPreviousOwners,
    addresses: Sequence[Address | None],
    requester: UpstreamId,
    key_owner: Mailbox[Any],
    dialer: Dialer,
) -> None:
    """Query all previous owners of a key and post their replies to the key owner."""
    request = encode_surrender_query(decision.question, requester)
    results = await asyncio.gather(
        *(_poll_owner(address, request, dialer) for address in addresses)
    )
    replies = tuple(reply for reply in results if reply is not None)
    key_owner.post(PreviousOwnersReplied(decision.ticket, replies))


async def _poll_owner(
    address: Address | None, request: pb.SurrenderRequest, dialer: Dialer
) -> SurrenderResult | None:
    """Poll one owner until its call has ended; return None if it does not reply."""
    if address is None:
        return None
    for _ in range(_MAX_POLLS):
        result = await _send_query(address, request, dialer)
        if result is None or result.state is not SurrenderState.RUNNING:
            return result
        await asyncio.sleep(_POLL_INTERVAL_S)
    return None


async def _send_query(
    address: Address, request: pb.SurrenderRequest, dialer: Dialer
) -> SurrenderResult | None:
    channel = dialer.open(address)
    try:
        async with asyncio.timeout(_QUERY_TIMEOUT_S):
            return decode_surrender_reply(await AgentStub(channel).Surrender(request))
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError):
        return None
    finally:
        channel.close()


def encode_surrender_query(
    query: SurrenderQuery, requester: UpstreamId
) -> pb.SurrenderRequest:
    """Encode a query to surrender one key."""
    return pb.SurrenderRequest(
        service=query.scoped.service,
        team=query.scoped.team,
        idempotency_key=query.scoped.key.text,
        asker=requester,
        arrival_ms=int(query.arrival * 1000),
    )


def decode_surrender_query(request: pb.SurrenderRequest) -> SurrenderQuery | None:
    """Decode a query; return None if its key is invalid."""
    match parse_key(request.idempotency_key):
        case Success(key):
            scoped = ScopedKey(TeamId(request.team), ServiceName(request.service), key)
            return SurrenderQuery(scoped, WallTime(request.arrival_ms / 1000))
    return None


def encode_surrender_reply(result: SurrenderResult) -> pb.SurrenderReply:
    """Encode the result of a surrender query."""
    reply = pb.SurrenderReply(
        state=_STATES[result.state], fingerprint=result.fingerprint or ""
    )
    if result.answer is not None:
        reply.answer_kept = True
        reply.status = result.answer.status
        reply.content_type = result.answer.content_type
        reply.body = result.answer.body
    return reply


def decode_surrender_reply(reply: pb.SurrenderReply) -> SurrenderResult:
    """Decode a reply; an unrecognized state is treated as `UNKNOWN`."""
    state = _STATES_BY_NUMBER.get(reply.state, SurrenderState.UNKNOWN)
    response = None
    if reply.answer_kept:
        response = StoredResponse(reply.status, reply.content_type, reply.body)
    fingerprint = Fingerprint(reply.fingerprint) if reply.fingerprint else None
    return SurrenderResult(state, response, fingerprint)
