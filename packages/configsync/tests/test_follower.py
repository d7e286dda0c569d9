"""Tests of the follower without processes."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import TYPE_CHECKING, Any

from sardineyard.configsync.adoption import START_WINDOW_S, Source
from sardineyard.configsync.follower import ConfigFollower
from sardineyard.configsync.messages import (
    DocumentOffered,
    SourceSettled,
)
from sardineyard.core.address import Address
from sardineyard.core.clock import SystemClock
from sardineyard.core.control import NoMeter
from sardineyard.core.mailbox import Mailbox, Reply

if TYPE_CHECKING:
    import pytest

    from sardineyard.configsync.messages import (
        DocumentAdopted,
    )

# Nothing listens on the port for discarded data, so the platform counts as down.
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
    """Offer documents and settle sources in turn; return what came into force."""
    follower = ConfigFollower(NO_PLATFORM, SystemClock(), Random(1), NoMeter())
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
    while (message := adopted.take()) is not None:
        results.append(message)
    return results


def test_every_order_of_arrival_ends_with_the_greatest_document(
    random: Random, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against processes that go back or settle on different documents."""
    offers = [_document(version, name) for version in (1, 2, 3) for name in "ab"]
    offers += [b"{}", b"not JSON"]
    ends = set()
    for _ in range(40):
        random.shuffle(offers)
        adopted = asyncio.run(adopted_after([*Source, *offers]))
        orders = [message.order for message in adopted]
        assert orders == sorted(set(orders))
        ends.add(orders[-1])
    assert len(ends) == 1
    events = {getattr(record, "event", "") for record in caplog.records}
    assert {"document_race", "document_rejected"} <= events


def test_the_first_document_waits_for_slow_peers_but_not_for_ever() -> None:
    """Guards against serving a stale platform's document while peers still answer."""
    stale, newer = _document(1, "a"), _document(2, "a")
    in_turn = [Source.PLATFORM, stale, newer, Source.PEERS]
    assert [m.raw for m in asyncio.run(adopted_after(in_turn, 0.1))] == [newer]
    alone = [Source.PLATFORM, stale]
    assert asyncio.run(adopted_after(alone, START_WINDOW_S / 2)) == []
    adopted = asyncio.run(adopted_after(alone, START_WINDOW_S + 0.5))
    assert [message.raw for message in adopted] == [stale]
