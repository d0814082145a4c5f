"""Tests that answers account for every requested shard (G2)."""

import pytest

from nutmegstep.coverage import CoverageMismatchError, build_answer


@pytest.mark.parametrize(
    ('covered', 'lacking'),
    [('a', ''), ('ab', 'b'), ('ab', 'c'), ('', '')],
)
def test_coverage_must_be_exactly_the_shard_map(covered, lacking) -> None:
    """Guards against shards that are missing, listed twice or not requested."""
    with pytest.raises(CoverageMismatchError):
        build_answer(
            'stock',
            1,
            {'a', 'b'},
            dict.fromkeys(covered, b'1'),
            dict.fromkeys(lacking, 'reset'),
        )
