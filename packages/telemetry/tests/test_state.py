"""Tests of the state dump."""

from __future__ import annotations

import msgspec
import pytest

from sardineyard.telemetry import state

_DUMP_STRUCTURES = [
    value
    for value in vars(state).values()
    if isinstance(value, type) and issubclass(value, msgspec.Struct)
]


@pytest.mark.parametrize("structure", _DUMP_STRUCTURES)
def test_dump_structures_have_no_field_for_secrets(
    structure: type[msgspec.Struct],
) -> None:
    """Guards against the key of a team or its hash in a dump that is shared."""
    for field in structure.__struct_fields__:
        assert field == "idempotency_keys" or not any(
            word in field for word in ("key", "secret", "sha256", "bearer")
        )


def test_dump_is_decoded_by_its_role() -> None:
    """Guards against dumps that the command-line tool cannot decode."""
    dump = state.AgentDump(
        process=state.ProcessId("agent-1"),
        incarnation=state.Incarnation(7),
        failure_domain=state.FailureDomain("a"),
        state=state.ProcessState.DRAINING,
        uptime_s=1.5,
        document=None,
        upstream=state.UpstreamId("runner-1"),
        slots=32,
    )
    raw = state.encode_dump(dump)
    assert b'"role":"agent"' in raw
    assert b'"draining"' in raw
    assert state.decode_dump(raw) == dump
