"""Protocol of runners whose ranks follow an expert map: JSON over HTTP."""

from __future__ import annotations

import asyncio
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.core.ids import (
    ExpertIndex,
    FencingNumber,
    Incarnation,
    RankIndex,
    StepNumber,
)
from sardineyard.experts.maps import ExpertMap, MapVersion
from sardineyard.experts.orders import (
    Abort,
    Change,
    Commit,
    Prepare,
    Read,
    Refusal,
    RunnerState,
)
from sardineyard.experts.report import RankReport
from sardineyard.httpio.client import ResponseError
from sardineyard.httpio.messages import HttpRequest
from sardineyard.runner.kinds import RunnerError

if TYPE_CHECKING:
    from sardineyard.experts.orders import Order
    from sardineyard.httpio.pool import ConnectionPool

_JSON = {"content-type": "application/json"}


class _Map(msgspec.Struct):
    version: MapVersion
    ranks: tuple[tuple[ExpertIndex, ...], ...]


class _Change(msgspec.Struct):
    number: FencingNumber
    map: _Map
    step: StepNumber


class _Report(msgspec.Struct):
    incarnation: Incarnation
    promised: FencingNumber
    step: StepNumber
    in_use: _Map | None
    prepared: _Change | None
    decided: _Change | None
    first_rank: RankIndex
    busy_s: tuple[float, ...]
    tokens: tuple[float, ...]
    expert_tokens: tuple[float, ...]
    late: tuple[RankIndex, ...]
    lost: tuple[RankIndex, ...]
    refusal: str | None = None


class RankClient:
    """Read the ranks of one runner and give them orders, one call at a time."""

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s

    async def read(self) -> RankReport:
        """Return the report of the ranks; raise RunnerError without an answer."""
        return _report(await self._call(HttpRequest("GET", "/ranks")))

    async def order(self, order: Order) -> tuple[Refusal | None, RankReport]:
        """Give an order; return why it was refused, if it was, and the report.

        Raise RunnerError when there is no answer; the order may have been followed.
        """
        kind, body = _encoded(order)
        request = HttpRequest("POST", f"/ranks/{kind}", _JSON, body)
        answer = await self._call(request)
        refusal = None if answer.refusal is None else Refusal(answer.refusal)
        return refusal, _report(answer)

    async def _call(self, request: HttpRequest) -> _Report:
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._exchange(request)
        except (OSError, TimeoutError, ResponseError, msgspec.MsgspecError) as error:
            raise RunnerError(f"the ranks did not answer: {error!r}") from error

    async def _exchange(self, request: HttpRequest) -> _Report:
        connection = await self._pool.acquire()
        try:
            await connection.send(request)
            head = await connection.receive_head()
            body = b"".join([piece async for piece in connection.receive_body()])
        finally:
            self._pool.release(connection)
        if head.status != 200:
            raise ResponseError(f"status {head.status}")
        return msgspec.json.decode(body, type=_Report)


@singledispatch
def _encoded(order: object) -> tuple[str, bytes]:
    raise TypeError(f"unknown order {type(order).__name__}")


@_encoded.register(Read)
def _(order: Read) -> tuple[str, bytes]:
    return "read", msgspec.json.encode(order)


@_encoded.register(Prepare)
def _(order: Prepare) -> tuple[str, bytes]:
    body: dict[str, Any] = {
        "number": order.number,
        "incarnation": order.incarnation,
        "map": _encoded_map(order.map),
        "step": order.step,
        "base": _encoded_map(order.base) if order.base is not None else None,
    }
    return "prepare", msgspec.json.encode(body)


@_encoded.register(Commit)
def _(order: Commit) -> tuple[str, bytes]:
    return "commit", msgspec.json.encode(order)


@_encoded.register(Abort)
def _(order: Abort) -> tuple[str, bytes]:
    return "abort", msgspec.json.encode(order)


def _encoded_map(value: ExpertMap) -> dict[str, Any]:
    return {"version": value.version, "ranks": value.ranks}


def _report(answer: _Report) -> RankReport:
    state = RunnerState(
        answer.incarnation,
        answer.promised,
        answer.step,
        _map(answer.in_use) if answer.in_use is not None else None,
        _change(answer.prepared),
        _change(answer.decided),
    )
    return RankReport(
        state,
        answer.first_rank,
        answer.busy_s,
        answer.tokens,
        answer.expert_tokens,
        answer.late,
        answer.lost,
    )


def _map(value: _Map) -> ExpertMap:
    return ExpertMap(value.version, value.ranks)


def _change(value: _Change | None) -> Change | None:
    if value is None:
        return None
    return Change(value.number, _map(value.map), value.step)
