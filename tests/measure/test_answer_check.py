"""Tests of the check that finds faults in answers."""

from types import MappingProxyType
from typing import Any

import pytest
import xxhash

from nutmegstep.measure.answer_check import find_answer_fault

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


def test_correct_answer_has_no_fault() -> None:
    """Guards against a check that reports a fault in a correct answer."""
    assert find_answer_fault(_answer(), 7, _BODY, _SHARDS_BY_VERSION) == ''


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
def test_fault_of_an_answer_is_returned(
    changes: dict[str, Any], fault: str
) -> None:
    """Guards against counting an answer with wrong fields as correct."""
    found = find_answer_fault(_answer(**changes), 7, _BODY, _SHARDS_BY_VERSION)
    assert found == fault


@pytest.mark.parametrize(
    ('field', 'wrong', 'fault'),
    [
        ('shard', 'b', 'result of another shard'),
        ('version', 3, 'result of another version'),
        ('digest', '', 'result of another request'),
    ],
)
def test_result_of_another_request_is_found(
    field: str, wrong: Any, fault: str
) -> None:
    """Guards against missing a shard result that belongs to another request."""
    answer = _answer()
    answer['results']['a'][field] = wrong
    assert find_answer_fault(answer, 7, _BODY, _SHARDS_BY_VERSION) == fault
