"""Tests of the size limits of the claim state."""

from random import Random

from nutmegstep.claims.journal import ClaimRecord
from nutmegstep.claims.state import ClaimReducerState, journal_state


def test_cached_journals_are_bounded_by_their_records() -> None:
    """Guards against cached journals that fill the memory of a VM.

    A limit on the number of journals alone admits 256 full ones.
    """
    state = ClaimReducerState(1, Random(1))
    record = ClaimRecord(bytes(16), 0, 1, bytes(8))
    for number in range(6):
        journal = journal_state(state, f'claims/1/{number}')
        journal.records_by_key = {
            key.to_bytes(16, 'big'): record for key in range(20_000)
        }
    assert list(state.journals_by_name) == [
        'claims/1/3',
        'claims/1/4',
        'claims/1/5',
    ]
