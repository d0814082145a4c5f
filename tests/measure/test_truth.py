"""Tests of the check of answers."""

from types import MappingProxyType
from typing import Any

import pytest
import xxhash

from nutmegstep.measure.truth import find_untruth

_BODY = b'{"text": "q-7"}'
_SHARDS_BY_VERSION = MappingProxyType({4: frozenset(('a', 'b'))})


def _answer(**changes: Any) -> dict[str, Any]:
    results = {
        shard: {
            'shard': shard,
            'version': 4,
            'digest': xxhash.xxh3_64_hexdigest(_BODY),
        }
        for shard in ('a', 'b')
    }
    return {
        'request_id': '7',
        'index_version': 4,
        'complete': True,
        'covered': ['a', 'b'],
        'lacking': [],
        'results': results,
        **changes,
    }


def test_true_answer_passes() -> None:
    """Guards against a check that reports true answers."""
    assert find_untruth(_answer(), 7, _BODY, _SHARDS_BY_VERSION) == ''


@pytest.mark.parametrize(
    ('changes', 'fault'),
    [
        ({'request_id': '8'}, 'answer to another request'),
        ({'index_version': 5}, 'unknown index version'),
        ({'covered': ['a']}, 'coverage differs from the shard map'),
        ({'complete': False}, 'complete contradicts lacking'),
        ({'results': {}}, 'results differ from coverage'),
    ],
)
def test_untrue_answer_is_named(changes: dict[str, Any], fault: str) -> None:
    """Guards against an untrue answer that counts as good."""
    found = find_untruth(_answer(**changes), 7, _BODY, _SHARDS_BY_VERSION)
    assert found == fault


@pytest.mark.parametrize(
    ('field', 'wrong', 'fault'),
    [
        ('shard', 'b', 'result of another shard'),
        ('version', 3, 'result of another version'),
        ('digest', '', 'result of another request'),
    ],
)
def test_crossed_result_is_named(field: str, wrong: Any, fault: str) -> None:
    """Guards against results that belong to other requests."""
    answer = _answer()
    answer['results']['a'][field] = wrong
    assert find_untruth(answer, 7, _BODY, _SHARDS_BY_VERSION) == fault
