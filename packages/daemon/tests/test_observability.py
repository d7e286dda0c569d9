"""Tests of metrics, state dumps and logs with real processes."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import TYPE_CHECKING, Any

from sardineyard.standins.demo import new_key
from sardineyard.standins.fleet import MODEL, TEAM_KEY, FleetSpec
from sardineyard.telemetry.state import AgentDump, EntryDump, decode_dump

if TYPE_CHECKING:
    from sardineyard.standins.fleet import Fleet

_BODY = {"model": MODEL, "prompt": "A", "max_tokens": 5, "stream": True}


def _metric_value(lines: list[str], *parts: str) -> float:
    samples = [line for line in lines if not line.startswith("#")]
    found = [line for line in samples if all(part in line for part in parts)]
    assert len(found) == 1, (parts, found)
    return float(found[0].split()[-1])


async def _send_requests(fleet: Fleet) -> None:
    assert (await fleet.call("POST", "/v1/completions", _BODY)).status == 200
    refused = await fleet.call(
        "POST", "/v1/completions", _BODY, headers={"authorization": "Bearer other"}
    )
    assert refused.status == 401
    keyed = {"idempotency-key": new_key()}
    await fleet.call("POST", "/services/booking/book", {}, headers=keyed)
    # This caller disconnects in the middle of its response.
    long = {**_BODY, "max_tokens": 2_000}
    disconnecting = asyncio.create_task(fleet.call("POST", "/v1/completions", long))
    await asyncio.sleep(0.3)
    disconnecting.cancel()
    await asyncio.sleep(0.2)


def test_each_request_is_counted_once_with_its_outcome(run_fleet, scrape) -> None:
    """Guards against metrics that miss failures or callers that disconnected."""

    async def scenario(fleet: Fleet) -> None:
        await _send_requests(fleet)
        lines = await scrape(fleet, "entry-1")
        total = "sardineyard_requests_total{"
        assert _metric_value(lines, total, 'kind="none"', 'priority="pressing"') == 2
        assert (
            _metric_value(lines, total, 'kind="unauthenticated"', 'class="none"') == 1
        )
        assert _metric_value(lines, total, 'kind="cancelled"', 'outcome="unknown"') == 1
        assert _metric_value(lines, "sardineyard_open_requests") == 0
        assert _metric_value(lines, "first_token_seconds_count", "pressing") == 2
        assert _metric_value(lines, "sardineyard_tokens_total", "pressing") >= 5
        assert _metric_value(lines, "sardineyard_document_version") == 1
        assert _metric_value(lines, "sardineyard_upstreams{", 'state="live"') == 2
        assert (
            _metric_value(lines, "control_messages_total", '"sent"', '"session"') >= 2
        )
        assert (
            _metric_value(lines, "control_bytes_total", '"received"', '"platform"') > 0
        )
        lines = await scrape(fleet, "agent-booking-1")
        assert _metric_value(lines, "control_bytes_total", '"sent"', '"peer"') > 0
        assert _metric_value(lines, "sardineyard_calls_total", 'kind="none"') == 1
        assert _metric_value(lines, "queue_seconds_count") == 1
        assert _metric_value(lines, "sardineyard_address_lease") == 1
        assert _metric_value(lines, "sardineyard_idempotency_keys") == 1
        assert (
            _metric_value(lines, "control_bytes_total", '"received"', '"session"') > 0
        )

    run_fleet(FleetSpec(model_runners=1), scenario)


def test_state_dump_is_typed_and_has_no_key_or_hash(run_fleet) -> None:
    """Guards against secrets in state dumps and logs, which operators may share."""

    async def scenario(fleet: Fleet) -> None:
        body = {**_BODY, "max_tokens": 200}
        stream = asyncio.create_task(fleet.call("POST", "/v1/completions", body))
        await asyncio.sleep(0.4)
        entry, agent = [
            json.dumps(await fleet.state(name)) for name in ("entry-1", "agent-model-1")
        ]
        await stream
        dump: Any = decode_dump(entry.encode())
        assert isinstance(dump, EntryDump)
        assert [(team.team, team.in_flight) for team in dump.teams] == [("demo", 1)]
        assert dump.requests[0].tokens > 0
        assert dump.document.version == 1
        assert dump.config.fleet_size == 2
        dump = decode_dump(agent.encode())
        assert isinstance(dump, AgentDump)
        assert [queue.running for queue in dump.queues] == [0, 1, 0]
        digest = hashlib.sha256(TEAM_KEY.encode()).hexdigest()
        for text in (entry, agent, fleet.processes["entry-1"].log_text()):
            assert TEAM_KEY not in text
            assert digest[:16] not in text

    run_fleet(FleetSpec(model_runners=1, booking_runners=0), scenario)


def test_every_log_line_has_the_fixed_fields(run_fleet) -> None:
    """Guards against log lines that a log store cannot index."""

    async def scenario(fleet: Fleet) -> None:
        await _send_requests(fleet)
        await fleet.processes["entry-1"].stop()
        lines = fleet.processes["entry-1"].log_text().splitlines()
        entries = [json.loads(line) for line in lines]
        assert {"started", "document_adopted", "request_refused", "stopped"} <= {
            entry["event"] for entry in entries
        }
        fixed = {"time", "level", "process", "event", "request_id", "error_kind"}
        assert all(fixed <= entry.keys() for entry in entries)
        refused = next(e for e in entries if e["event"] == "request_refused")
        assert refused["error_kind"] == "unauthenticated"
        assert len(refused["request_id"]) == 32

    run_fleet(FleetSpec(model_runners=1), scenario)
