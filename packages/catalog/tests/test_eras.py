"""Tests of the eras of a store that returns from an older copy."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from sardineyard.catalog.follower import StoreFollower, WatchTiming
from sardineyard.catalog.messages import (
    UpstreamsChanged,
    UpstreamsListed,
)
from sardineyard.core.clock import SystemClock
from sardineyard.core.mailbox import Mailbox
from sardineyard.forwarding.store import (
    StoredUpstream,
    StoreFailure,
    UpstreamChanges,
    UpstreamSnapshot,
)
from sardineyard.standins.gateway_doubles import (
    empty_config,
    position_at,
    ready_entry,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sardineyard.core.ids import StoreEra
    from sardineyard.forwarding.store import StorePosition


@pytest.fixture
def run_with_copy(
    run_with_catalogs: Callable[..., None],
) -> Callable[[Callable[[Any], Awaitable[None]]], None]:
    """Return a function that runs a test with a catalog whose store has a copy.

    The store has lost version 2 and the entry of u2 once it returns from the copy.
    """

    def run(test: Callable[[Any], Awaitable[None]], watch_s: float = 0.4) -> None:
        async def run_test(catalog: Any) -> None:
            await catalog.store.put_config(empty_config(1))
            await catalog.store.put_upstream(ready_entry("u1"))
            catalog.start(watch_s=watch_s)
            await catalog.wait_until(lambda: catalog.upstreams() == {"u1"})
            catalog.store.take_copy()
            await catalog.store.put_config(empty_config(2))
            await catalog.store.put_upstream(ready_entry("u2"))
            await catalog.wait_until(lambda: catalog.keeper.config.version == 2)
            await catalog.wait_until(lambda: catalog.upstreams() == {"u1", "u2"})
            await test(catalog)

        run_with_catalogs(run_test)

    return run


def test_configuration_at_a_revision_that_was_given_out_before_is_adopted(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a revoked key in use: no watch fails, only the era tells."""

    async def test(catalog: Any) -> None:
        catalog.store.return_from_copy()
        await catalog.store.put_config(empty_config(3))
        async with asyncio.timeout(1.5):
            await catalog.wait_until(lambda: catalog.keeper.config.version == 3)

    run_with_copy(test)


def test_era_that_one_task_sees_ends_the_watch_of_the_other(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a watch of the lost history that waits for its whole time."""

    async def test(catalog: Any) -> None:
        catalog.store.return_from_copy()
        # The watch of the configuration waits for a higher revision than this one.
        await catalog.store.put_config(empty_config(3))
        for id in ("u3", "u4"):
            await catalog.store.put_upstream(ready_entry(id))
        async with asyncio.timeout(1.5):
            await catalog.wait_until(lambda: catalog.keeper.config.version == 3)

    run_with_copy(test, watch_s=20.0)


@pytest.mark.parametrize("failure", [StoreFailure.REFUSED, StoreFailure.HISTORY_LOST])
def test_era_of_a_failed_call_is_followed(
    run_with_copy: Callable[..., None],
    caplog: pytest.LogCaptureFixture,
    failure: StoreFailure,
) -> None:
    """Guards against a process that learns of an era only once a call succeeds."""

    async def test(catalog: Any) -> None:
        catalog.store.return_from_copy()
        catalog.store.failure = failure
        await catalog.wait_until(
            lambda: "store_era_seen" in {r.__dict__["event"] for r in caplog.records}
        )

    with caplog.at_level(logging.INFO):
        run_with_copy(test)


def test_configuration_of_the_copy_does_not_replace_a_newer_one(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a revoked key that is in use again after the store's return."""

    async def test(catalog: Any) -> None:
        catalog.store.return_from_copy()
        await catalog.wait_until(lambda: catalog.keeper.versions[1].era == 1)
        await asyncio.sleep(0.5)
        assert catalog.keeper.config.version == 2

    run_with_copy(test)


def test_process_reads_everything_once_after_a_return(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a fleet whose reads exceed the limit of the store."""

    async def test(catalog: Any) -> None:
        reads = catalog.store.reads
        catalog.store.return_from_copy()
        await asyncio.sleep(1.5)
        assert catalog.keeper.versions[1].era == 1
        # The configuration and the upstreams.
        assert catalog.store.reads - reads == 2

    run_with_copy(test)


def test_late_answer_of_the_lost_history_changes_nothing(
    run_with_copy: Callable[..., None],
) -> None:
    """Guards against a list or changes that were read before the store's return."""

    async def test(catalog: Any) -> None:
        late_list = await catalog.store.read_upstreams()
        catalog.store.return_from_copy()
        await catalog.wait_until(lambda: catalog.keeper.versions[1].era == 1)
        await catalog.store.put_upstream(ready_entry("u3"))
        await catalog.wait_until(lambda: "u3" in catalog.upstreams())
        position = position_at(90)
        changes = UpstreamChanges(late_list.entries, position)
        late_list = UpstreamSnapshot(late_list.entries, position)
        catalog.keeper.mailbox.post(UpstreamsListed(late_list, after_outage=False))
        catalog.keeper.mailbox.post(UpstreamsChanged(changes, after_outage=False))
        # The time for which u2, which the copy lacks, stays in use.
        await asyncio.sleep(2.0)
        assert catalog.upstreams() == {"u1", "u3"}
        assert catalog.keeper.versions[1].era == 1

    run_with_copy(test)


def test_watch_that_answers_from_an_earlier_era_is_repeated() -> None:
    """Guards against changes of the lost history that a late answer has."""
    position = position_at(20, era=2)
    answers = [
        UpstreamChanges(
            (StoredUpstream("u1", position_at(60, 1), None),), position_at(60, 1)
        ),
        UpstreamChanges((), position_at(21, era=2)),
    ]
    watched: list[StorePosition] = []

    async def read(era: StoreEra) -> UpstreamSnapshot:
        return UpstreamSnapshot((), position)

    async def watch(after: StorePosition, wait_s: float) -> UpstreamChanges:
        watched.append(after)
        if not answers:
            await asyncio.sleep(60.0)
        return answers.pop(0)

    async def test() -> list[object]:
        keeper: Mailbox[object] = Mailbox()
        timing = WatchTiming(5.0, 0.0, Random(1))
        clock = SystemClock()
        follower = StoreFollower("upstreams", read, watch, keeper, clock, timing)
        task = asyncio.create_task(follower.run())
        while len(watched) < 3:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        task.cancel()
        return [keeper.receive_nowait() for _ in range(keeper.depth)]

    sent = asyncio.run(test())
    assert watched == [position, position, position_at(21, era=2)]
    (changed,) = (m for m in sent if isinstance(m, UpstreamsChanged))
    assert changed.changes.position == position_at(21, era=2)
