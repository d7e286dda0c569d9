"""Tests of the assembly of answers."""

from random import Random

import pytest

from sardineyard.entry.assembler import AnswerAssembler, AssemblyState


@pytest.mark.parametrize("seed", range(50))
def test_late_repeated_and_reordered_pieces_give_the_same_answer(
    seed, batch, end
) -> None:
    """Guards against lost, doubled or misplaced tokens."""
    random = Random(seed)
    tokens = [f"t{index}" for index in range(40)]
    pieces = [batch(start, *tokens[start : start + 3]) for start in range(0, 40, 2)]
    events = [*pieces, *random.sample(pieces, 5), end(40)]
    random.shuffle(events)
    assembler = AnswerAssembler()
    received: list[str] = []
    for event in events:
        if event == end(40):
            assembler.end(event)
        else:
            received += assembler.add(event)
    assert received == tokens
    assert assembler.state is AssemblyState.WHOLE


def test_an_answer_with_a_missing_piece_is_never_whole(batch, end) -> None:
    """Guards against passing a partial answer off as whole."""
    assembler = AnswerAssembler()
    assert assembler.add(batch(0, "a")) == ["a"]
    assert assembler.add(batch(2, "c")) == []
    assembler.end(end(3))
    assert assembler.state is AssemblyState.OPEN
    assert assembler.has_gap


def test_tokens_beyond_the_end_break_the_answer(batch, end) -> None:
    """Guards against an upstream that contradicts its own end."""
    assembler = AnswerAssembler()
    assembler.add(batch(0, "a", "b", "c"))
    assembler.end(end(2))
    assert assembler.state is AssemblyState.BROKEN
