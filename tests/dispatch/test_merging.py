"""Tests of merging the replies of several shards."""

from random import Random

import pytest

from nutmegstep.dispatch.merging import (
    RECORD_BYTES,
    merge_records,
    shorten_part,
)


@pytest.mark.parametrize('top', [0, 1, 5, 1000])
def test_merge_equals_sorting_all_records(top: int) -> None:
    """Guards against records that are lost, duplicated or out of order."""
    random = Random(top)
    records = [random.randbytes(RECORD_BYTES) for _ in range(300)]
    records.extend(records[:20])
    parts = [b''.join(records[start::7]) for start in range(7)]
    expected = b''.join(sorted(records, reverse=True)[:top])
    assert merge_records(parts, top) == expected


@pytest.mark.parametrize('count', [0, 1, 1000, 1025, 5000])
def test_merge_of_shortened_parts_is_the_same(count: int) -> None:
    """Guards against records that are lost as long parts are shortened."""
    random = Random(count)
    parts = [random.randbytes(RECORD_BYTES * count + 3) for _ in range(3)]
    shortened = [shorten_part(part, 50) for part in parts]
    assert merge_records(shortened, 50) == merge_records(parts, 50)
    assert max(map(len, shortened)) <= 16 * 1024


def test_remainder_of_a_part_is_no_record() -> None:
    """Guards against a truncated record in an answer.

    The body of a reply can end with fewer bytes than a record has.
    """
    assert merge_records([b'a' * 16 + b'zzz', b'b' * 15], 5) == b'a' * 16
