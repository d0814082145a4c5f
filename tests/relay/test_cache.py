"""What a relay remembers of the objects that it serves."""

import weakref

import pytest

from nutmegstep.relay import RelayCache
from nutmegstep.store_watch import (
    HistoryGone,
    Listing,
    ObjectChange,
    ObjectChanges,
)

_VERSIONS = 60
_MAX_NAMES = 1000


class _Document(dict[str, object]):
    """Document that can be referenced weakly."""


def _change(cache: RelayCache, name: str, revision: int) -> None:
    change = ObjectChange(name, _Document(revision=revision), False)
    cache.apply_changes(ObjectChanges((change,), revision))


def _delete(cache: RelayCache, name: str, revision: int) -> None:
    change = ObjectChange(name, None, is_deleted=True)
    cache.apply_changes(ObjectChanges((change,), revision))


def _changed_names(cache: RelayCache, revision: int) -> list[str]:
    found = cache.changes_after(revision)
    assert isinstance(found, ObjectChanges)
    return [change.name for change in found.changes]


@pytest.mark.parametrize('is_deleted_at_last', [False, True])
def test_superseded_versions_are_not_kept(is_deleted_at_last: bool) -> None:
    """Guards against a VM that is killed for its memory, as it keeps every version
    of a large configuration although readers get only the latest.
    """
    cache = RelayCache()
    cache.replace_all(Listing({}, 1))
    versions = []
    for revision in range(2, 2 + _VERSIONS):
        document = _Document(revision=revision)
        versions.append(weakref.ref(document))
        change = ObjectChange('main', document, False)
        cache.apply_changes(ObjectChanges((change,), revision))
        del change, document
    if is_deleted_at_last:
        _delete(cache, 'main', 2 + _VERSIONS)
    kept = [one for one in versions if one() is not None]
    assert len(kept) == int(not is_deleted_at_last)
    assert _changed_names(cache, 1) == ['main']


def test_watch_returns_changed_objects_in_the_order_of_their_changes() -> None:
    """Guards against a watch that omits a change, or repeats one that the reader
    knows.
    """
    cache = RelayCache()
    cache.replace_all(Listing({'a': {}, 'b': {}, 'c': {}}, 1))
    for revision, name in enumerate(('a', 'b', 'a'), 2):
        _change(cache, name, revision)
    assert _changed_names(cache, 1) == ['b', 'a']
    assert _changed_names(cache, 3) == ['a']
    assert not _changed_names(cache, 4)


def test_watch_tells_of_deleted_objects() -> None:
    """Guards against a reader that goes on using an object which was deleted, or
    takes one for deleted that was created again.
    """
    cache = RelayCache()
    cache.replace_all(Listing({'a': {}, 'b': {}}, 1))
    for name in ('a', 'b'):
        _delete(cache, name, 2)
    _change(cache, 'b', 3)
    found = cache.changes_after(1)
    assert isinstance(found, ObjectChanges)
    assert [(one.name, one.is_deleted) for one in found.changes] == [
        ('a', True),
        ('b', False),
    ]


def test_reader_lists_again_if_more_objects_have_changed_than_are_kept() -> (
    None
):
    """Guards against names of deleted objects that are kept without a bound, and
    against a reader that misses the changes which are not kept.
    """
    cache = RelayCache()
    cache.replace_all(Listing({}, 1))
    for revision in range(2, 3 + _MAX_NAMES):
        _delete(cache, f'object-{revision}', revision)
    assert cache.changes_after(1) == HistoryGone()
    assert len(_changed_names(cache, 2)) == _MAX_NAMES
