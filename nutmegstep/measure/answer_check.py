"""Checks that answers match the shard map and the request."""

from collections.abc import Mapping
from typing import Any

import orjson
import xxhash

__all__ = ['find_answer_fault', 'is_complete', 'read_document']


def is_complete(document: Mapping[str, Any]) -> bool:
    """Return whether an answer claims to cover all shards."""
    return document.get('complete') is True


def find_answer_fault(
    document: Mapping[str, Any],
    request_id: int,
    body: bytes,
    shards_by_version: Mapping[int, frozenset[str]],
) -> str:
    """Return the first fault of an answer; empty if it is correct.

    Parameters
    ----------
    document : Mapping
        Decoded answer.
    request_id : int
        Identifier that the request was sent with.
    body : bytes
        Body that the request was sent with; results contain its digest.
    shards_by_version : Mapping
        Names of the shards of the service in each index version.

    Returns
    -------
    str
        Description of the fault.

    Examples
    --------
    >>> answer = {
    ...     'request_id': '1',
    ...     'index_version': 4,
    ...     'complete': True,
    ...     'covered': ['a'],
    ...     'lacking': [],
    ...     'results': {'a': {'shard': 'a', 'version': 4, 'digest': ''}},
    ... }
    >>> find_answer_fault(answer, 1, b'{}', {4: frozenset(('a',))})
    'result of another request'
    >>> find_answer_fault(answer, 1, b'{}', {4: frozenset(('a', 'b'))})
    'coverage differs from the shard map'
    """
    shards = shards_by_version.get(document['index_version'])
    covered = document['covered']
    lacking = [lack['shard'] for lack in document['lacking']]
    if shards is None:
        return 'unknown index version'
    is_correct_by_fault = {
        'answer to another request': document['request_id'] == str(request_id),
        'coverage differs from the shard map': (
            sorted(covered + lacking) == sorted(shards)
        ),
        'complete contradicts lacking': document['complete'] != bool(lacking),
        'results differ from coverage': (
            sorted(document['results']) == sorted(covered)
        ),
    }
    found = (
        fault
        for fault, is_correct in is_correct_by_fault.items()
        if not is_correct
    )
    return next(found, '') or _find_wrong_result(document, body)


def _find_wrong_result(document: Mapping[str, Any], body: bytes) -> str:
    digest = xxhash.xxh3_64_hexdigest(body)
    version = document['index_version']
    for shard, found in document['results'].items():
        if found['shard'] != shard:
            return 'result of another shard'
        if found['version'] != version:
            return 'result of another version'
        if found['digest'] != digest:
            return 'result of another request'
    return ''


def read_document(body: bytes) -> dict[str, Any]:
    """Decode a JSON object; return an empty one if the body is not one."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return document if isinstance(document, dict) else {}
