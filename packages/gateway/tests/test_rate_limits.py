"""Tests of the rate limits that upstreams name in their responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineyard.standins.gateway_doubles import UpstreamConnection

LIMIT_PER_S = 2.0
# One and a half times the limit in four seconds, and five more.
MAX_REQUESTS = 1.5 * LIMIT_PER_S * 4.0 + 5
# Time after the first response with the limit in which gateways may not know of it.
LEARNING_S = 0.5


def test_upstream_with_a_limit_does_not_get_it_from_each_gateway(
    run_with_fleet: Callable[..., None],
) -> None:
    """Guards against an upstream in need that is sent the load of the others."""
    received: list[float] = []

    async def limited(connection: UpstreamConnection) -> None:
        while (request := await connection.receive()) is not None:
            received.append(asyncio.get_running_loop().time())
            connection.send_response(request, b"ok", f"x-limit: {LIMIT_PER_S}")

    async def unlimited(connection: UpstreamConnection) -> None:
        while (request := await connection.receive()) is not None:
            connection.send_response(request)

    async def call(harness: Any, statuses: list[int], until: float) -> None:
        client = await harness.client()
        while asyncio.get_running_loop().time() < until:
            statuses.append((await client.request("/read/a"))[0])
            await asyncio.sleep(0.02)

    async def test(harnesses: list[Any]) -> None:
        await harnesses[0].start(limited, unlimited)
        for harness in harnesses[1:]:
            await harness.start(config=None)
            async with asyncio.timeout(5.0):
                while not harness.daemon.is_ready:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
        started = asyncio.get_running_loop().time()
        statuses: list[int] = []
        await asyncio.gather(
            *(call(harness, statuses, started + 4.5) for harness in harnesses)
        )
        first = received[0]
        counted = [t for t in received if first + LEARNING_S <= t <= first + 4.5]
        assert 1 <= len(counted) <= MAX_REQUESTS
        assert set(statuses) == {200}

    run_with_fleet(4, test)


def test_request_is_refused_at_once_where_limits_leave_it_no_time(
    run_with_gateway: Callable[..., None],
) -> None:
    """Guards against callers held until they give up, who could come back later."""

    async def limited(connection: UpstreamConnection) -> None:
        while (request := await connection.receive()) is not None:
            connection.send_response(request, b"ok", "x-limit: 0.5")

    async def test(harness: Any) -> None:
        await harness.start(limited)
        clients = [await harness.client() for _ in range(4)]
        assert (await clients[0].request("/read/a"))[0] == 200
        await asyncio.sleep(0.2)
        started = asyncio.get_running_loop().time()
        waits = []

        async def call(client: Any) -> None:
            status, headers, _ = await client.request("/read/a")
            if status != 200:
                assert float(headers["retry-after"]) > 0
                waits.append(asyncio.get_running_loop().time() - started)

        await asyncio.gather(*map(call, clients))
        # One may be sent now, and the next one waits for its chance; those behind it
        # have none in time.
        assert len(waits) >= 2
        assert sorted(waits)[1] < 0.2

    run_with_gateway(test)
