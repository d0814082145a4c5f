"""Calls of the store client to a stand-in."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

import orjson
import pytest
from prometheus_client import CollectorRegistry, Counter
from returns.pipeline import is_successful

from nutmegstep.platform.store import KIND_VMS, ObjectStore
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.store_watch import HistoryGone, ObjectChanges
from nutmegstep.store_watch.revisions import compose_revision
from nutmegstep.store_watch.vm_registry import VmEntry
from tests.platform.standin import StoreStandIn

_WAIT = timedelta(seconds=1)
_FIRST = compose_revision(1, 1)


class _StoreAndStandIn:
    def __init__(self, stand_in: StoreStandIn, store: ObjectStore) -> None:
        self.stand_in = stand_in
        self.store = store


@pytest.fixture
async def pair() -> AsyncIterator[_StoreAndStandIn]:
    """Return a stand-in and a client that is connected to it."""
    stand_in = StoreStandIn()
    host, _, port = (await stand_in.start()).partition(':')
    counter = Counter(
        'calls',
        'Calls.',
        ('operation', 'outcome'),
        registry=CollectorRegistry(),
    )
    store = ObjectStore(HttpTransport(host, int(port)), counter)
    yield _StoreAndStandIn(stand_in, store)
    store.close()
    stand_in.http.close()


async def test_all_pages_are_listed(pair: _StoreAndStandIn) -> None:
    """Guards against a listing that ends with the first page: targets on later
    pages would get no requests.
    """
    for number in range(120):
        pair.stand_in.put('servers', f's{number:03d}', {'n': number})
    listing = (await pair.store.list_kind('servers')).unwrap()
    assert len(listing.documents_by_name) == 120
    assert listing.documents_by_name['s119'] == {'n': 119}


_ODD_SPECS = {
    'nested': b'[' * 2000 + b']' * 2000,
    'nested_deeply': b'{"a":' * 99_000 + b'1' + b'}' * 99_000,
    'number': b'{"slots": 1e999, "text": "]}"}',
    'surrogate': b'{"service": "%sud800"}' % b'\\',
    'encoding': b'"\xff\xfe"',
    'brackets': rb'{"text": "a\"]}[{", "slots": 1e999}',
    'word': b'nonsense',
}


@pytest.mark.parametrize('name', _ODD_SPECS)
async def test_odd_entry_does_not_hide_the_others(
    pair: _StoreAndStandIn, name: str
) -> None:
    """Guards against VMs that follow no change of the targets any more while one
    entry of another writer cannot be decoded.
    """
    for target in ('a', 'c'):
        pair.stand_in.put('servers', target, {'service': target})
    pair.stand_in.put('servers', 'b', orjson.Fragment(_ODD_SPECS[name]))
    listing = (await pair.store.list_kind('servers')).unwrap()
    others = {'a': {'service': 'a'}, 'c': {'service': 'c'}}
    assert listing.documents_by_name == {**others, 'b': None}
    changes = (await pair.store.watch_kind('servers', _FIRST, _WAIT)).unwrap()
    assert isinstance(changes, ObjectChanges)
    seen = {one.name: one.document for one in changes.changes}
    assert seen == {**others, 'b': None}


async def test_watch_returns_changes_and_deletions(
    pair: _StoreAndStandIn,
) -> None:
    """Guards against a deletion that is decoded as a change."""
    pair.stand_in.put('servers', 'a', 1)
    revision = (await pair.store.list_kind('servers')).unwrap().revision
    pair.stand_in.put('servers', 'b', 2)
    pair.stand_in.delete('servers', 'a')
    found = (await pair.store.watch_kind('servers', revision, _WAIT)).unwrap()
    assert isinstance(found, ObjectChanges)
    assert [(one.name, one.is_deleted) for one in found.changes] == [
        ('b', False),
        ('a', True),
    ]


async def test_watch_waits_for_a_change(pair: _StoreAndStandIn) -> None:
    """Guards against polling, since each call is charged for: a watch has to
    stay open until an object changes.
    """
    watch = asyncio.create_task(pair.store.watch_kind('servers', _FIRST, _WAIT))
    await asyncio.sleep(0.05)
    pair.stand_in.put('servers', 'b', 2)
    async with asyncio.timeout(0.5):
        found = (await watch).unwrap()
    assert isinstance(found, ObjectChanges)
    assert found.changes


async def test_discarded_history_is_not_a_failure(
    pair: _StoreAndStandIn,
) -> None:
    """Guards against status 410 that is taken for an outage. The history after
    the revision is discarded, and the objects have to be listed again.
    """
    pair.stand_in.put('servers', 'a', 1)
    pair.stand_in.forget_history()
    found = await pair.store.watch_kind('servers', _FIRST, _WAIT)
    assert found.unwrap() == HistoryGone()


async def test_outage_is_a_failure(pair: _StoreAndStandIn) -> None:
    """Guards against an empty list of targets when the store answers with an
    error.
    """
    pair.stand_in.is_away = True
    assert not is_successful(await pair.store.list_kind('servers'))


async def test_entry_of_a_vm_is_created_and_renewed(
    pair: _StoreAndStandIn,
) -> None:
    """Guards against a VM that is no longer counted, because its entry was
    created but cannot be renewed.
    """
    for renewal in (1, 2):
        entry = VmEntry('north', '10.0.0.1:7740', renewal)
        await pair.store.put_vm('vm-1', entry)
        listed = (await pair.store.list_vms()).unwrap()
        assert listed['vm-1'].address == '10.0.0.1:7740'
    assert pair.stand_in.names(KIND_VMS) == {'vm-1'}


async def test_first_entry_takes_one_call(pair: _StoreAndStandIn) -> None:
    """Guards against a second call, which is charged for, when a VM that has no
    entry yet writes it.
    """
    entry = VmEntry('north', '10.0.0.1:7740', 1)
    await pair.store.put_vm('vm-1', entry)
    assert len(pair.stand_in.calls) == 1


async def test_process_that_restarts_renews_its_entry(
    pair: _StoreAndStandIn,
) -> None:
    """Guards against an entry that keeps the address from before a restart."""
    pair.stand_in.put(KIND_VMS, 'vm-1', {'address': '10.0.0.9:1'})
    await pair.store.put_vm('vm-1', VmEntry('north', '10.0.0.1:7740', 1))
    listed = (await pair.store.list_vms()).unwrap()
    assert listed['vm-1'].address == '10.0.0.1:7740'


async def test_entry_from_before_the_start_is_recognised(
    pair: _StoreAndStandIn,
) -> None:
    """Guards against a new VM that uses a share of the limits of accounts before
    the others leave it one.
    """
    entry = VmEntry('north', '10.0.0.1:7740', 1)
    pair.stand_in.put(KIND_VMS, 'vm-1', {'address': '10.0.0.9:1'})
    known = await pair.store.put_vm('vm-1', entry)
    pair.stand_in.delete(KIND_VMS, 'vm-1')
    new = await pair.store.put_vm('vm-2', entry)
    assert known.unwrap()
    assert not new.unwrap()


async def test_deleted_entry_is_created_again(pair: _StoreAndStandIn) -> None:
    """Guards against a running VM that stays uncounted after another VM has
    deleted its entry.
    """
    entry = VmEntry('north', '10.0.0.1:7740', 1)
    await pair.store.put_vm('vm-1', entry)
    pair.stand_in.delete(KIND_VMS, 'vm-1')
    await pair.store.put_vm('vm-1', entry)
    assert pair.stand_in.names(KIND_VMS) == {'vm-1'}


@pytest.mark.parametrize('spec', [None, 5, {}, {'address': 'nowhere'}])
async def test_invalid_entry_has_no_address(
    pair: _StoreAndStandIn, spec: object
) -> None:
    """Guards against a crash on invalid entries that other writers left."""
    pair.stand_in.put(KIND_VMS, 'foreign', spec)
    listed = (await pair.store.list_vms()).unwrap()
    assert listed['foreign'].address == ''


async def test_objects_without_contents(pair: _StoreAndStandIn) -> None:
    """Guards against a record that is taken for a failure as another VM has
    written it, or deleted it, before.
    """
    for _ in range(2):
        assert is_successful(await pair.store.put_object('records', 'a.b'))
    assert pair.stand_in.names('records') == {'a.b'}
    for _ in range(2):
        assert is_successful(await pair.store.delete_object('records', 'a.b'))
    assert not pair.stand_in.names('records')


async def test_record_that_is_not_written_is_a_failure(
    pair: _StoreAndStandIn,
) -> None:
    """Guards against a record that is lost in an outage of the store."""
    pair.stand_in.is_away = True
    assert not is_successful(await pair.store.put_object('records', 'a.b'))
    assert not is_successful(await pair.store.delete_object('records', 'a.b'))
