"""Measure how the libraries scale to fleets too large for one machine."""

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
from sardineyard.entry.document_index import DocumentIndex
from sardineyard.routing.subset import choose_subset
from sardineyard.wire import peer_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

# Size -> role -> name of a figure -> value.
Points = list[tuple[float, dict[str, dict[str, float]]]]
_REPEATS = 7
_DOMAINS = 7


def median_cpu_ms(action: Callable[[], Any], repeats: int = _REPEATS) -> float:
    """Return the median CPU time of an action in milliseconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return statistics.median(times) * 1000


def allocated_mb(build: Callable[[], Any]) -> float:
    """Return the memory allocated for a value in megabytes."""
    tracemalloc.start()
    value = build()
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return allocated / 1e6


def document_bytes(teams: int, upstreams: int) -> bytes:
    """Return an encoded document with the given numbers of teams and upstreams."""
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


def measure_documents() -> Points:
    """Vary the number of teams in a document with 670 upstreams."""
    points: Points = []
    for teams in (650, 1_300, 2_600, 5_200):
        encoded = document_bytes(teams, 670)
        document = decode(encoded).unwrap()
        names = [upstream.id for upstream in document.upstreams]
        local_id = ProcessId("entry-1")
        point = {
            "document KB": len(encoded) / 1000,
            "decode and check ms": median_cpu_ms(
                lambda encoded=encoded: decode(encoded)
            ),
            "digest ms": median_cpu_ms(lambda encoded=encoded: digest_of(encoded)),
            "index of teams ms": median_cpu_ms(
                lambda document=document: DocumentIndex(document)
            ),
            "subset ms": median_cpu_ms(
                lambda local_id=local_id, names=names: choose_subset(
                    local_id, names, 20
                )
            ),
            "held MB": allocated_mb(
                lambda encoded=encoded: DocumentIndex(decode(encoded).unwrap())
            ),
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


def measure_members() -> Points:
    """Vary the number of processes in the member table."""
    points: Points = []
    rng = random.Random(7)
    for count in (134, 268, 535, 1_070):

        def build(count: int = count) -> MemberTable:
            table = MemberTable(_member(0))
            table.merge(_member(number) for number in range(1, count))
            return table

        table = build()

        def exchange(table: MemberTable = table) -> bytes:
            selected = table.select(FailureDomain("domain-1"), rng)
            state = pb.PeerState(
                sender=encode_member(_member(0), 1.0),
                document_version=1,
                document_digest="0" * 32,
                members=[encode_member(member, 1.0) for member in selected],
            )
            encoded = state.SerializeToString()
            table.merge(decode_members(pb.PeerState.FromString(encoded).members, 1.0))
            table.expire(1.0)
            table.view()
            return encoded

        point = {
            "message bytes": float(len(exchange())),
            "one exchange us": median_cpu_ms(exchange, 51) * 1000,
            "held MB": allocated_mb(build),
        }
        points.append((float(count), {"library": point}))
    return points


def measure_queue() -> Points:
    """Vary the number of active teams in the admission queue of an agent."""
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
        started_count = 0
        while queue.start_next() is not None:
            started_count += 1
        elapsed = time.process_time() - started
        assert started_count == count, (started_count, count)
        point = {
            "one start us": elapsed / count * 1e6,
            "held KB": allocated_mb(build) * 1000,
        }
        points.append((float(count), {"library": point}))
    return points


LIBRARY_SERIES: dict[str, Callable[[], Points]] = {
    "teams in a document": measure_documents,
    "processes of the fleet": measure_members,
    "teams in a queue": measure_queue,
}
