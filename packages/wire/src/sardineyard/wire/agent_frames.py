"""Conversion of the events that an agent sends to an entry."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, TypeAlias

from sardineyard.core.errors import ErrorKind, RequestError
from sardineyard.core.ids import Incarnation, PriorityName, RequestId, UpstreamId
from sardineyard.core.requests import (
    CallFailed,
    GenerationEnd,
    LoadReport,
    ServiceResponse,
    TokenBatch,
)
from sardineyard.core.states import FinishReason
from sardineyard.wire import session_pb2 as pb
from sardineyard.wire.control import Pong, Welcome

if TYPE_CHECKING:
    from collections.abc import Callable

AgentMessage: TypeAlias = (
    Welcome | Pong | TokenBatch | GenerationEnd | ServiceResponse | CallFailed
)


@singledispatch
def to_event(message: object) -> pb.AgentEvent:
    """Encode one message of an agent."""
    raise TypeError(f"cannot encode {type(message).__name__} as an agent event")


@to_event.register(TokenBatch)
def _encode_tokens(message: TokenBatch) -> pb.AgentEvent:
    return pb.AgentEvent(
        tokens=pb.Tokens(
            request_id=message.request_id,
            offset=message.offset,
            tokens=message.tokens,
        )
    )


@to_event.register(GenerationEnd)
def _encode_ended(message: GenerationEnd) -> pb.AgentEvent:
    return pb.AgentEvent(
        ended=pb.Ended(
            request_id=message.request_id,
            token_count=message.token_count,
            reason=message.reason.value,
        )
    )


@to_event.register(ServiceResponse)
def _encode_service_response(message: ServiceResponse) -> pb.AgentEvent:
    return pb.AgentEvent(
        call_result=pb.CallResult(
            request_id=message.request_id,
            status=message.status,
            content_type=message.content_type,
            body=message.body,
            replayed=message.replayed,
        )
    )


@to_event.register(CallFailed)
def _encode_failed(message: CallFailed) -> pb.AgentEvent:
    return pb.AgentEvent(
        failed=pb.Failed(
            request_id=message.request_id,
            kind=message.error.kind.value,
            detail=message.error.detail,
        )
    )


@to_event.register(Welcome)
def _encode_welcome(message: Welcome) -> pb.AgentEvent:
    return pb.AgentEvent(
        welcome=pb.Welcome(upstream=message.upstream, incarnation=message.incarnation)
    )


@to_event.register(Pong)
def _encode_pong(message: Pong) -> pb.AgentEvent:
    load = message.load
    return pb.AgentEvent(
        pong=pb.Pong(
            sequence=message.sequence,
            upstream=load.upstream,
            incarnation=load.incarnation,
            draining=load.draining,
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            document_version=load.document_version,
            expected_wait_s={
                str(name): wait for name, wait in load.expected_wait_s.items()
            },
        )
    )


def from_event(event: pb.AgentEvent) -> AgentMessage | None:
    """Decode one event of an agent; return None for an unknown type."""
    decoder = _DECODERS.get(event.WhichOneof("event") or "")
    return decoder(event) if decoder else None


def _decode_welcome(event: pb.AgentEvent) -> AgentMessage:
    welcome = event.welcome
    return Welcome(UpstreamId(welcome.upstream), Incarnation(welcome.incarnation))


def _decode_tokens(event: pb.AgentEvent) -> AgentMessage:
    tokens = event.tokens
    return TokenBatch(RequestId(tokens.request_id), tokens.offset, tuple(tokens.tokens))


def _decode_ended(event: pb.AgentEvent) -> AgentMessage:
    ended = event.ended
    return GenerationEnd(
        RequestId(ended.request_id), ended.token_count, FinishReason(ended.reason)
    )


def _decode_call_result(event: pb.AgentEvent) -> AgentMessage:
    result = event.call_result
    return ServiceResponse(
        request_id=RequestId(result.request_id),
        status=result.status,
        content_type=result.content_type,
        body=result.body,
        replayed=result.replayed,
    )


def _decode_failed(event: pb.AgentEvent) -> AgentMessage:
    failed = event.failed
    return CallFailed(
        RequestId(failed.request_id),
        RequestError(_error_kind(failed.kind), failed.detail),
    )


def _error_kind(name: str) -> ErrorKind:
    # A newer agent may send error kinds that this entry does not know. They map to
    # INTERNAL, whose outcome is unknown.
    try:
        return ErrorKind(name)
    except ValueError:
        return ErrorKind.INTERNAL


def _decode_pong(event: pb.AgentEvent) -> AgentMessage:
    pong = event.pong
    return Pong(
        pong.sequence,
        LoadReport(
            upstream=UpstreamId(pong.upstream),
            incarnation=Incarnation(pong.incarnation),
            draining=pong.draining,
            running=pong.running,
            queued=pong.queued,
            slots=pong.slots,
            document_version=pong.document_version,
            expected_wait_s={
                PriorityName(name): wait for name, wait in pong.expected_wait_s.items()
            },
        ),
    )


_DECODERS: dict[str, Callable[[pb.AgentEvent], AgentMessage]] = {
    "welcome": _decode_welcome,
    "tokens": _decode_tokens,
    "ended": _decode_ended,
    "call_result": _decode_call_result,
    "failed": _decode_failed,
    "pong": _decode_pong,
}
