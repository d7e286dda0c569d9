"""Slopes of the libraries alone, at sizes beyond one machine's processes."""

from __future__ import annotations

import random
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

import msgspec

from sardineyard.admission.model import PriorityRule, QueueLimits, Work
from sardineyard.admission.queue import AdmissionQueue
from sardineyard.configsync.members import MemberTable, PeerMember
from sardineyard.configsync.peer_encoding import decode_members, encode_member
from sardineyard.core.address import Address
from sardineyard.core.clock import NO_DEADLINE, SystemClock
from sardineyard.core.ids import (
    FailureDomain,
    Incarnation,
    PriorityName,
    ProcessId,
    RequestId,
    TeamId,
)
from sardineyard.document.codec import decode
from sardineyard.document.order import digest_of
from sardineyard.entry.directory import Directory
from sardineyard.routing.subset import choose_subset
from sardineyard.wire import peer_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

Points = list[tuple[float, dict[str, dict[str, float]]]]
_REPEATS = 7
_DOMAINS = 7


def median_ms(action: Callable[[], Any], repeats: int = _REPEATS) -> float:
    """Return the median processor time of an action in milliseconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return statistics.median(times) * 1000


def held_mb(build: Callable[[], Any]) -> float:
    """Return the memory that a value holds, in megabytes."""
    tracemalloc.start()
    value = build()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return held / 1e6


def document_bytes(teams: int, upstreams: int) -> bytes:
    """Return a document of a size."""
    priority = {"first_token_target_s": 1.0, "finish_target_s": 9.0, "worth": 1.0}
    tree = {
        "version": 1,
        "priorities": [{"name": "urgent", **priority}],
        "teams": [
            {
                "id": f"team-{number}",
                "key_sha256": f"{number:064x}",
                "default_priority": "urgent",
            }
            for number in range(teams)
        ],
        "upstreams": [
            {
                "id": f"model-{number}",
                "kind": "model_runner",
                "agent_address": f"10.0.{number // 250}.{number % 250 + 1}:9200",
                "failure_domain": f"domain-{number % _DOMAINS}",
                "models": ["model"],
            }
            for number in range(upstreams)
        ],
    }
    return msgspec.json.encode(tree)


def documents() -> Points:
    """Vary the teams of a document with 670 upstreams."""
    points: Points = []
    for teams in (650, 1_300, 2_600, 5_200):
        raw = document_bytes(teams, 670)
        document = decode(raw).unwrap()
        names = [upstream.id for upstream in document.upstreams]
        own = ProcessId("entry-1")
        point = {
            "document KB": len(raw) / 1000,
            "decode and check ms": median_ms(lambda raw=raw: decode(raw)),
            "digest ms": median_ms(lambda raw=raw: digest_of(raw)),
            "index of teams ms": median_ms(
                lambda document=document: Directory(document)
            ),
            "subset ms": median_ms(
                lambda own=own, names=names: choose_subset(own, names, 20)
            ),
            "held MB": held_mb(lambda raw=raw: Directory(decode(raw).unwrap())),
        }
        points.append((float(teams), {"library": point}))
    return points


def _member(number: int) -> PeerMember:
    return PeerMember(
        ProcessId(f"process-{number}"),
        Address(f"10.0.{number // 250}.{number % 250 + 1}", 9200),
        Incarnation(1_800_000_000_000_000 + number),
        FailureDomain(f"domain-{number % _DOMAINS}"),
        0.0,
    )


def members() -> Points:
    """Vary the processes of the fleet in the table of members."""
    points: Points = []
    generator = random.Random(7)
    for count in (134, 268, 535, 1_070):

        def build(count: int = count) -> MemberTable:
            table = MemberTable(_member(0))
            table.merge(_member(number) for number in range(1, count))
            return table

        table = build()

        def exchange(table: MemberTable = table) -> bytes:
            chosen = table.select(FailureDomain("domain-1"), generator)
            state = pb.PeerState(
                sender=encode_member(_member(0), 1.0),
                document_version=1,
                document_digest="0" * 32,
                members=[encode_member(member, 1.0) for member in chosen],
            )
            raw = state.SerializeToString()
            table.merge(decode_members(pb.PeerState.FromString(raw).members, 1.0))
            table.expire(1.0)
            table.view()
            return raw

        point = {
            "message bytes": float(len(exchange())),
            "one exchange us": median_ms(exchange, 51) * 1000,
            "held MB": held_mb(build),
        }
        points.append((float(count), {"library": point}))
    return points


def queue_teams() -> Points:
    """Vary the active teams of one agent's queue."""
    points: Points = []
    rules = [PriorityRule(PriorityName("urgent"), 1.0)]
    for count in (650, 1_300, 2_600, 5_200):

        def build(count: int = count) -> AdmissionQueue:
            weights = {TeamId(f"team-{n}"): 1.0 for n in range(count)}
            limits = QueueLimits(slots=count * 2, max_queued=count * 2)
            queue = AdmissionQueue(rules, weights, SystemClock(), limits)
            for n in range(count):
                queue.offer(
                    Work(
                        RequestId(f"r{n}"),
                        TeamId(f"team-{n}"),
                        PriorityName("urgent"),
                        NO_DEADLINE,
                    )
                )
            return queue

        queue = build()
        started = time.process_time()
        work = 0
        while queue.start_next() is not None:
            work += 1
        elapsed = time.process_time() - started
        assert work == count, (work, count)
        point = {
            "one start us": elapsed / count * 1e6,
            "held KB": held_mb(build) * 1000,
        }
        points.append((float(count), {"library": point}))
    return points


LIBRARY_SERIES: dict[str, Callable[[], Points]] = {
    "teams in a document": documents,
    "processes of the fleet": members,
    "teams in a queue": queue_teams,
}
