"""Tests of `ConfigFollower` without child processes."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import TYPE_CHECKING, Any

from sardineyard.configsync.adoption import STARTUP_WINDOW_S, Source
from sardineyard.configsync.follower import ConfigFollower
from sardineyard.configsync.messages import (
    DocumentOffered,
    SourceSettled,
)
from sardineyard.core.address import Address
from sardineyard.core.clock import SystemClock
from sardineyard.core.control import NullControlMeter
from sardineyard.core.mailbox import Mailbox, Reply

if TYPE_CHECKING:
    import pytest

    from sardineyard.configsync.messages import (
        DocumentAdopted,
    )

# Nothing listens on port 9 (discard), so the platform is unreachable.
NO_PLATFORM = Address("127.0.0.1", 9)


def _document(version: int, name: str) -> bytes:
    priority = {
        "name": name,
        "first_token_target_s": 1,
        "finish_target_s": 2,
        "worth": 1,
    }
    content: dict[str, Any] = {"version": version, "priorities": [priority]}
    return json.dumps({**content, "teams": [], "upstreams": []}).encode()


async def adopted_after(
    steps: list[bytes | Source], wait_s: float = 0.0
) -> list[DocumentAdopted]:
    """Offer documents and settle sources in order; return the adopted documents."""
    follower = ConfigFollower(NO_PLATFORM, SystemClock(), Random(1), NullControlMeter())
    adopted: Mailbox[Any] = Mailbox()
    follower.subscribe(adopted)
    task = asyncio.create_task(follower.run())
    for step in steps:
        if isinstance(step, Source):
            follower.mailbox.post(SourceSettled(step))
            continue
        reply: Reply[Any] = Reply()
        follower.mailbox.post(DocumentOffered(step, "test", reply))
        await reply.wait()
    await asyncio.sleep(wait_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    results = []
    while (message := adopted.receive_nowait()) is not None:
        results.append(message)
    return results


def test_all_arrival_orders_converge_to_the_greatest_document(
    random: Random, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against processes that revert to an older document or diverge."""
    offers = [_document(version, name) for version in (1, 2, 3) for name in "ab"]
    offers += [b"{}", b"not JSON"]
    last_orders = set()
    for _ in range(40):
        random.shuffle(offers)
        adopted = asyncio.run(adopted_after([*Source, *offers]))
        orders = [message.order for message in adopted]
        assert orders == sorted(set(orders))
        last_orders.add(orders[-1])
    assert len(last_orders) == 1
    events = {getattr(record, "event", "") for record in caplog.records}
    assert {"document_race", "document_rejected"} <= events


def test_first_document_waits_for_slow_peers_up_to_the_startup_window() -> None:
    """Guards against serving a stale document before the peers have replied."""
    stale, newer = _document(1, "a"), _document(2, "a")
    peers_last = [Source.PLATFORM, stale, newer, Source.PEERS]
    assert [m.raw for m in asyncio.run(adopted_after(peers_last, 0.1))] == [newer]
    no_peers = [Source.PLATFORM, stale]
    assert asyncio.run(adopted_after(no_peers, STARTUP_WINDOW_S / 2)) == []
    adopted = asyncio.run(adopted_after(no_peers, STARTUP_WINDOW_S + 0.5))
    assert [message.raw for message in adopted] == [stale]
