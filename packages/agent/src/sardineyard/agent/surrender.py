"""Questions to previous owners of a key, and their encoding."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from returns.result import Success

from sardineyard.agent.key_messages import PreviousAnswered
from sardineyard.core.clock import WallTime
from sardineyard.core.ids import Fingerprint, ServiceName, TeamId
from sardineyard.idempotency.keys import ScopedKey, parse_key
from sardineyard.idempotency.messages import (
    StoredAnswer,
    SurrenderAnswer,
    SurrenderQuestion,
    SurrenderState,
)
from sardineyard.wire import session_pb2 as pb
from sardineyard.wire.session_grpc import AgentStub

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardineyard.core.address import Address
    from sardineyard.core.ids import UpstreamId
    from sardineyard.core.mailbox import Mailbox
    from sardineyard.idempotency.messages import AskPrevious

_TIMEOUT_S = 0.5
# A previous owner that runs the call is asked again for its answer.
_ASK_AGAIN_S = 0.2
_MAX_QUESTIONS = 25

_STATES = {
    SurrenderState.UNKNOWN: pb.SurrenderReply.UNKNOWN,
    SurrenderState.RAN: pb.SurrenderReply.RAN,
    SurrenderState.NEVER_RUNS: pb.SurrenderReply.NEVER_RUNS,
    SurrenderState.RUNNING: pb.SurrenderReply.RUNNING,
}
_STATES_BY_NUMBER = {number: state for state, number in _STATES.items()}


async def ask_previous_owners(
    decision: AskPrevious,
    addresses: Sequence[Address | None],
    asker: UpstreamId,
    key_owner: Mailbox[Any],
) -> None:
    """Ask all previous owners of a key and post what they said."""
    request = encode_question(decision.question, asker)
    replies = await asyncio.gather(*(_ask(address, request) for address in addresses))
    answers = tuple(reply for reply in replies if reply is not None)
    key_owner.post(PreviousAnswered(decision.ticket, answers))


async def _ask(
    address: Address | None, request: pb.SurrenderRequest
) -> SurrenderAnswer | None:
    """Ask one owner until its call has ended; return None without an answer."""
    if address is None:
        return None
    for _ in range(_MAX_QUESTIONS):
        answer = await _ask_once(address, request)
        if answer is None or answer.state is not SurrenderState.RUNNING:
            return answer
        await asyncio.sleep(_ASK_AGAIN_S)
    return None


async def _ask_once(
    address: Address, request: pb.SurrenderRequest
) -> SurrenderAnswer | None:
    channel = Channel(address.host, address.port)
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return decode_answer(await AgentStub(channel).Surrender(request))
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError):
        return None
    finally:
        channel.close()


def encode_question(
    question: SurrenderQuestion, asker: UpstreamId
) -> pb.SurrenderRequest:
    """Encode a question about one key."""
    return pb.SurrenderRequest(
        service=question.scoped.service,
        team=question.scoped.team,
        idempotency_key=question.scoped.key.text,
        asker=asker,
        arrival_ms=int(question.arrival * 1000),
    )


def decode_question(request: pb.SurrenderRequest) -> SurrenderQuestion | None:
    """Decode a question; return None when its key is not valid."""
    match parse_key(request.idempotency_key):
        case Success(key):
            scoped = ScopedKey(TeamId(request.team), ServiceName(request.service), key)
            return SurrenderQuestion(scoped, WallTime(request.arrival_ms / 1000))
    return None


def encode_answer(answer: SurrenderAnswer) -> pb.SurrenderReply:
    """Encode what is known about a key."""
    reply = pb.SurrenderReply(
        state=_STATES[answer.state], fingerprint=answer.fingerprint or ""
    )
    if answer.answer is not None:
        reply.answer_kept = True
        reply.status = answer.answer.status
        reply.content_type = answer.answer.content_type
        reply.body = answer.answer.body
    return reply


def decode_answer(reply: pb.SurrenderReply) -> SurrenderAnswer:
    """Decode what another owner knows about a key."""
    state = _STATES_BY_NUMBER.get(reply.state, SurrenderState.UNKNOWN)
    kept = None
    if reply.answer_kept:
        kept = StoredAnswer(reply.status, reply.content_type, reply.body)
    fingerprint = Fingerprint(reply.fingerprint) if reply.fingerprint else None
    return SurrenderAnswer(state, kept, fingerprint)
