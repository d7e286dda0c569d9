"""Tests of the reassembly of responses."""

from random import Random

import pytest

from sardineyard.entry.assembler import AssemblyState, ResponseAssembler


@pytest.mark.parametrize("seed", range(50))
def test_late_duplicate_and_reordered_batches_give_the_same_response(
    seed, batch, end
) -> None:
    """Guards against lost, duplicated or misplaced tokens."""
    random = Random(seed)
    tokens = [f"t{index}" for index in range(40)]
    pieces = [batch(start, *tokens[start : start + 3]) for start in range(0, 40, 2)]
    events = [*pieces, *random.sample(pieces, 5), end(40)]
    random.shuffle(events)
    assembler = ResponseAssembler()
    received: list[str] = []
    for event in events:
        if event == end(40):
            assembler.end(event)
        else:
            received += assembler.add(event)
    assert received == tokens
    assert assembler.state is AssemblyState.WHOLE


def test_a_response_with_a_missing_token_is_never_complete(batch, end) -> None:
    """Guards against treating a partial response as complete."""
    assembler = ResponseAssembler()
    assert assembler.add(batch(0, "a")) == ["a"]
    assert assembler.add(batch(2, "c")) == []
    assembler.end(end(3))
    assert assembler.state is AssemblyState.OPEN
    assert assembler.has_gap


def test_tokens_past_the_end_invalidate_the_response(batch, end) -> None:
    """Guards against an upstream that sends more tokens than its end event states."""
    assembler = ResponseAssembler()
    assembler.add(batch(0, "a", "b", "c"))
    assembler.end(end(2))
    assert assembler.state is AssemblyState.BROKEN
