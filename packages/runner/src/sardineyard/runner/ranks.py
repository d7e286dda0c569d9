"""Protocol for the expert maps of a runner's ranks: JSON over HTTP."""

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
from sardineyard.runner.execution import RunnerError

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
    """Client that queries one runner's ranks and sends them orders, one at a time."""

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s

    async def read(self) -> RankReport:
        """Return the report of the ranks; raise RunnerError on failure."""
        return _to_rank_report(await self._call(HttpRequest("GET", "/ranks")))

    async def order(self, order: Order) -> tuple[Refusal | None, RankReport]:
        """Send an order; return the reason of a refusal, or None, and the report.

        Raise RunnerError on failure; the order may have been executed.
        """
        kind, body = _encode_order(order)
        request = HttpRequest("POST", f"/ranks/{kind}", _JSON, body)
        response = await self._call(request)
        refusal = None if response.refusal is None else Refusal(response.refusal)
        return refusal, _to_rank_report(response)

    async def _call(self, request: HttpRequest) -> _Report:
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._exchange(request)
        except (OSError, TimeoutError, ResponseError, msgspec.MsgspecError) as error:
            raise RunnerError(f"request to the ranks failed: {error!r}") from error

    async def _exchange(self, request: HttpRequest) -> _Report:
        connection = await self._pool.acquire()
        try:
            await connection.send(request)
            head = await connection.receive_head()
            body = b"".join([chunk async for chunk in connection.receive_body()])
        finally:
            self._pool.release(connection)
        if head.status != 200:
            raise ResponseError(f"status {head.status}")
        return msgspec.json.decode(body, type=_Report)


@singledispatch
def _encode_order(order: object) -> tuple[str, bytes]:
    raise TypeError(f"unknown order {type(order).__name__}")


@_encode_order.register(Read)
def _(order: Read) -> tuple[str, bytes]:
    return "read", msgspec.json.encode(order)


@_encode_order.register(Prepare)
def _(order: Prepare) -> tuple[str, bytes]:
    body: dict[str, Any] = {
        "number": order.number,
        "incarnation": order.incarnation,
        "map": _encode_map(order.map),
        "step": order.step,
        "base": _encode_map(order.base) if order.base is not None else None,
    }
    return "prepare", msgspec.json.encode(body)


@_encode_order.register(Commit)
def _(order: Commit) -> tuple[str, bytes]:
    return "commit", msgspec.json.encode(order)


@_encode_order.register(Abort)
def _(order: Abort) -> tuple[str, bytes]:
    return "abort", msgspec.json.encode(order)


def _encode_map(value: ExpertMap) -> dict[str, Any]:
    return {"version": value.version, "ranks": value.ranks}


def _to_rank_report(response: _Report) -> RankReport:
    state = RunnerState(
        response.incarnation,
        response.promised,
        response.step,
        _to_expert_map(response.in_use) if response.in_use is not None else None,
        _to_change(response.prepared),
        _to_change(response.decided),
    )
    return RankReport(
        state,
        response.first_rank,
        response.busy_s,
        response.tokens,
        response.expert_tokens,
        response.late,
        response.lost,
    )


def _to_expert_map(value: _Map) -> ExpertMap:
    return ExpertMap(value.version, value.ranks)


def _to_change(value: _Change | None) -> Change | None:
    if value is None:
        return None
    return Change(value.number, _to_expert_map(value.map), value.step)
