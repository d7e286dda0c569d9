"""Conversion of the frames that an entry sends to an agent."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, TypeAlias

from sardineyard.core.clock import deadline_after
from sardineyard.core.ids import (
    FailureDomain,
    Fingerprint,
    Incarnation,
    ModelName,
    PriorityName,
    ProcessId,
    RequestId,
    ServiceName,
    TeamId,
)
from sardineyard.core.requests import Generation, ServiceCall
from sardineyard.wire import session_pb2 as pb
from sardineyard.wire.control import CancelCall, Hello, Ping

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.core.clock import Clock

EntryMessage: TypeAlias = Hello | Generation | ServiceCall | CancelCall | Ping


@singledispatch
def to_frame(message: object, clock: Clock) -> pb.EntryFrame:
    """Encode one message of an entry."""
    raise TypeError(f"cannot encode {type(message).__name__} as an entry frame")


@to_frame.register(Hello)
def _encode_hello(message: Hello, clock: Clock) -> pb.EntryFrame:
    return pb.EntryFrame(
        hello=pb.Hello(
            process=message.process,
            incarnation=message.incarnation,
            failure_domain=message.failure_domain,
        )
    )


@to_frame.register(Generation)
def _encode_generation(message: Generation, clock: Clock) -> pb.EntryFrame:
    return pb.EntryFrame(
        start_generation=pb.StartGeneration(
            request_id=message.request_id,
            team=message.team,
            priority=message.priority,
            model=message.model,
            adapter=message.adapter,
            prompt=message.prompt,
            max_tokens=message.max_tokens,
            timeout_ms=_timeout_ms(message.deadline, clock),
            fingerprint=message.fingerprint,
            resume_tokens=message.resume_tokens,
        )
    )


@to_frame.register(ServiceCall)
def _encode_service_call(message: ServiceCall, clock: Clock) -> pb.EntryFrame:
    return pb.EntryFrame(
        start_call=pb.StartCall(
            request_id=message.request_id,
            team=message.team,
            priority=message.priority,
            service=message.service,
            method=message.method,
            path=message.path,
            body=message.body,
            content_type=message.content_type,
            timeout_ms=_timeout_ms(message.deadline, clock),
            fingerprint=message.fingerprint,
            repeatable=message.repeatable,
            idempotency_key=message.idempotency_key or "",
            incarnation=message.incarnation or 0,
        )
    )


@to_frame.register(CancelCall)
def _encode_cancel(message: CancelCall, clock: Clock) -> pb.EntryFrame:
    return pb.EntryFrame(cancel=pb.Cancel(request_id=message.request_id))


@to_frame.register(Ping)
def _encode_ping(message: Ping, clock: Clock) -> pb.EntryFrame:
    return pb.EntryFrame(ping=pb.Ping(sequence=message.sequence))


def _timeout_ms(deadline: float, clock: Clock) -> int:
    remaining_s = min(deadline - clock.now(), 86_400.0)
    return max(0, int(remaining_s * 1000))


def from_frame(frame: pb.EntryFrame, clock: Clock) -> EntryMessage | None:
    """Decode one message of an entry; return None for an unknown type."""
    kind = frame.WhichOneof("frame")
    decoder = _DECODERS.get(kind or "")
    return decoder(frame, clock) if decoder else None


def _decode_hello(frame: pb.EntryFrame, clock: Clock) -> EntryMessage:
    hello = frame.hello
    return Hello(
        ProcessId(hello.process),
        Incarnation(hello.incarnation),
        FailureDomain(hello.failure_domain),
    )


def _decode_generation(frame: pb.EntryFrame, clock: Clock) -> EntryMessage:
    start = frame.start_generation
    return Generation(
        request_id=RequestId(start.request_id),
        team=TeamId(start.team),
        priority=PriorityName(start.priority),
        model=ModelName(start.model),
        adapter=start.adapter,
        prompt=start.prompt,
        max_tokens=start.max_tokens,
        deadline=deadline_after(clock, start.timeout_ms / 1000),
        fingerprint=Fingerprint(start.fingerprint),
        resume_tokens=tuple(start.resume_tokens),
    )


def _decode_service_call(frame: pb.EntryFrame, clock: Clock) -> EntryMessage:
    start = frame.start_call
    return ServiceCall(
        request_id=RequestId(start.request_id),
        team=TeamId(start.team),
        priority=PriorityName(start.priority),
        service=ServiceName(start.service),
        method=start.method,
        path=start.path,
        body=start.body,
        content_type=start.content_type,
        deadline=deadline_after(clock, start.timeout_ms / 1000),
        fingerprint=Fingerprint(start.fingerprint),
        repeatable=start.repeatable,
        idempotency_key=start.idempotency_key or None,
        incarnation=Incarnation(start.incarnation) if start.incarnation else None,
    )


def _decode_cancel(frame: pb.EntryFrame, clock: Clock) -> EntryMessage:
    return CancelCall(RequestId(frame.cancel.request_id))


def _decode_ping(frame: pb.EntryFrame, clock: Clock) -> EntryMessage:
    return Ping(frame.ping.sequence)


_DECODERS: dict[str, Callable[[pb.EntryFrame, Clock], EntryMessage]] = {
    "hello": _decode_hello,
    "start_generation": _decode_generation,
    "start_call": _decode_service_call,
    "cancel": _decode_cancel,
    "ping": _decode_ping,
}
