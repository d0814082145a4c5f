"""Checks answers against the shard map and the request."""

from collections.abc import Mapping
from typing import Any

import orjson
import xxhash

__all__ = ['find_untruth', 'is_complete', 'read_document']


def is_complete(document: Mapping[str, Any]) -> bool:
    """Return whether an answer says that it covers all shards."""
    return document.get('complete') is True


def find_untruth(
    document: Mapping[str, Any],
    request_id: int,
    body: bytes,
    shards_by_version: Mapping[int, frozenset[str]],
) -> str:
    """Return what is untrue about an answer; empty when nothing is.

    Parameters
    ----------
    document : Mapping
        The answer.
    request_id : int
        Identifier that the request had.
    body : bytes
        Body that the request had.
    shards_by_version : Mapping
        Shards of the service in each index version.

    Returns
    -------
    str
        Short name of the first fault found.

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
    >>> find_untruth(answer, 1, b'{}', {4: frozenset(('a',))})
    'result of another request'
    >>> find_untruth(answer, 1, b'{}', {4: frozenset(('a', 'b'))})
    'coverage differs from the shard map'
    """
    shards = shards_by_version.get(document['index_version'])
    covered = document['covered']
    lacking = [lack['shard'] for lack in document['lacking']]
    if shards is None:
        return 'unknown index version'
    holds_by_statement = {
        'answer to another request': document['request_id'] == str(request_id),
        'coverage differs from the shard map': (
            sorted(covered + lacking) == sorted(shards)
        ),
        'complete contradicts lacking': document['complete'] != bool(lacking),
        'results differ from coverage': (
            sorted(document['results']) == sorted(covered)
        ),
    }
    broken = (name for name, holds in holds_by_statement.items() if not holds)
    return next(broken, '') or _find_wrong_result(document, body)


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
    """Return the document of a body; empty when it is not a JSON object."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return document if isinstance(document, dict) else {}
