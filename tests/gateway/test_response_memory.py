"""Bound on the memory of responses that are being received."""

import pytest

from nutmegstep.gateway.response_memory import ResponseMemory

_PIECE = 4096
_MB = 2**20
_TOTAL = 16 * _MB
_SMALL = 15_000
_LONGEST = 4 * _MB


def _read_in_turns(memory: ResponseMemory, bodies: int, length: int) -> int:
    """Read bodies piece by piece, in turns; return how many become complete."""
    size_by_body = dict.fromkeys(range(bodies), 0)
    complete = 0
    while size_by_body:
        for body, size in tuple(size_by_body.items()):
            added = min(_PIECE, length - size)
            may_go_on = memory.reserve(size, added)
            size_by_body[body] = size + added
            if not may_go_on or size + added == length:
                complete += may_go_on
                memory.release(size_by_body.pop(body))
    return complete


@pytest.mark.parametrize('bodies', [1, 30, 64, 240, 800])
def test_endless_bodies_take_no_more_than_all_together(bodies: int) -> None:
    """Guards against a bound that grows with the number of faulty targets."""
    memory = ResponseMemory()
    size_by_body = dict.fromkeys(range(bodies), 0)
    most = 0
    while size_by_body:
        for body, size in tuple(size_by_body.items()):
            may_go_on = memory.reserve(size, _PIECE)
            most = max(most, memory.held)
            size_by_body[body] += _PIECE
            if not may_go_on:
                memory.release(size_by_body.pop(body))
    assert most <= 2 * _TOTAL
    assert memory.held == 0
    assert _read_in_turns(memory, 1, _LONGEST) == 1


@pytest.mark.parametrize('bodies', [1, 64, 800])
def test_small_bodies_are_read_beside_endless_ones(bodies: int) -> None:
    """Guards against losing the answers of sound targets to faulty ones."""
    memory = ResponseMemory()
    for _ in range(bodies):
        memory.reserve(0, _TOTAL // bodies)
    assert _read_in_turns(memory, 100, _SMALL) == 100


@pytest.mark.parametrize(
    ('bodies', 'length'), [(4, _LONGEST), (64, 256 * 1024), (1000, _SMALL)]
)
def test_legal_bodies_are_read_together(bodies: int, length: int) -> None:
    """Guards against a bound that gives up answers in ordinary load."""
    memory = ResponseMemory()
    assert _read_in_turns(memory, bodies, length) == bodies
    assert memory.held == 0
