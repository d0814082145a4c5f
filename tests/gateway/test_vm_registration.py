"""When a VM that starts reads the entries of the other VMs."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

import pytest
from returns.result import Failure, Result, Success

from nutmegstep.clock import SystemClock
from nutmegstep.coordinators import choose_coordinators
from nutmegstep.dispatch.control_events import VmsCounted
from nutmegstep.gateway.vm_registration import VmCallbacks, VmRegistrar
from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)
from nutmegstep.store_watch import StoreAvailability
from nutmegstep.store_watch.revisions import compose_revision
from nutmegstep.store_watch.vm_registry import VmEntry
from tests.gateway.unimplemented_store import UnimplementedStore

_FIRST_START_DELAY = 'nutmegstep.gateway.vm_registration._FIRST_START_DELAY'
_OWN = VmEntry('north', '10.0.0.1:7740', 0)


class _Store(UnimplementedStore):
    """Store that returns the entries written so far."""

    def __init__(self) -> None:
        self.entries: dict[str, VmEntry] = {}

    async def list_vms(self) -> Result[dict[str, VmEntry], PlatformFailure]:
        return Success(dict(self.entries))

    async def put_vm(
        self,
        name: str,
        entry: VmEntry,
    ) -> Result[None, PlatformFailure]:
        self.entries[name] = entry
        return Success(None)


class _UnreadableStore(UnimplementedStore):
    """Store that accepts entries and does not return them."""

    def __init__(self) -> None:
        self.reads = 0
        self.writes = 0

    async def list_vms(self) -> Result[dict[str, VmEntry], PlatformFailure]:
        self.reads += 1
        return Failure(PlatformFailure(PlatformFailureKind.TIMEOUT, 'no reply'))

    async def put_vm(
        self,
        name: str,
        entry: VmEntry,
    ) -> Result[None, PlatformFailure]:
        self.writes += 1
        return Success(None)


async def _run_registrar(
    *,
    is_first_start: bool,
    meanwhile: Callable[[_Store], None],
) -> list[VmsCounted]:
    """Return the counts until the first read; `meanwhile` adds entries."""
    store = _Store()
    counts: list[VmsCounted] = []
    callbacks = VmCallbacks(
        counts.append, lambda choice: None, lambda one: None
    )
    registrar = VmRegistrar(
        store,
        SystemClock(),
        'vm-1',
        _OWN,
        callbacks,
        is_first_start,
    )
    availability = StoreAvailability(SystemClock(), lambda: None)
    task = asyncio.create_task(registrar.run(availability, Random(1)))
    await asyncio.sleep(0)
    meanwhile(store)
    await asyncio.wait_for(registrar.first_read.wait(), 5)
    task.cancel()
    return counts


def _others_write(store: _Store) -> None:
    for number in range(2, 23):
        store.entries[f'vm-{number}'] = _OWN


async def test_first_start_waits_for_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against relays that are chosen before all VMs have written their
    entries. VMs that start together would then choose different relays, and
    more of them would read the store, which charges for each call.
    """
    delay = timedelta(milliseconds=50)
    monkeypatch.setattr(_FIRST_START_DELAY, delay)
    counts = await _run_registrar(is_first_start=True, meanwhile=_others_write)
    names = [f'vm-{number}' for number in range(1, 23)]
    coordinators = choose_coordinators('vm-1', dict.fromkeys(names, _OWN))
    domains = dict.fromkeys(names, _OWN.failure_domain)
    assert counts == [VmsCounted(22, 22, coordinators, domains)]


async def test_restart_reads_at_once() -> None:
    """Guards against a restarted VM that serves callers seconds later, because
    it waits for entries that are written already.
    """
    start = asyncio.get_running_loop().time()
    await _run_registrar(is_first_start=False, meanwhile=lambda store: None)
    assert asyncio.get_running_loop().time() - start < 0.5


async def test_failed_read_does_not_repeat_the_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against writes, which are charged for, that follow a failed read
    of the entries.
    """
    monkeypatch.setattr(
        'nutmegstep.gateway.vm_registration._RETRY_DELAY',
        timedelta(milliseconds=10),
    )
    store = _UnreadableStore()
    callbacks = VmCallbacks(
        lambda one: None, lambda choice: None, lambda one: None
    )
    registrar = VmRegistrar(
        store, SystemClock(), 'vm-1', _OWN, callbacks, False
    )
    availability = StoreAvailability(SystemClock(), lambda: None)
    task = asyncio.create_task(registrar.run(availability, Random(1)))
    async with asyncio.timeout(5):
        while store.reads < 3:
            await asyncio.sleep(0.01)
    task.cancel()
    assert store.writes == 1


async def test_entry_is_written_again_after_a_restoration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against shares of bounds that are too large: the store is restored
    from a copy that lacks the entries of the VMs, which each would count none
    of the others until the next renewal.
    """
    monkeypatch.setattr(
        'nutmegstep.gateway.vm_registration._RESTORED_SPREAD_S', 0.02
    )
    store = _Store()
    _others_write(store)
    counts: list[VmsCounted] = []
    callbacks = VmCallbacks(
        counts.append, lambda choice: None, lambda one: None
    )
    registrar = VmRegistrar(
        store, SystemClock(), 'vm-1', _OWN, callbacks, False
    )
    availability = StoreAvailability(SystemClock(), lambda: None)
    availability.record_revision(compose_revision(1, 9))
    task = asyncio.create_task(registrar.run(availability, Random(1)))
    await asyncio.wait_for(registrar.first_read.wait(), 5)
    store.entries.clear()
    availability.record_revision(compose_revision(2, 3))
    async with asyncio.timeout(0.4):
        while 'vm-1' not in store.entries:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0)
    task.cancel()
    assert {one.count for one in counts} == {22}


class _BusyStore(_Store):
    """Store that turns the first write away."""

    def __init__(self, *, may_have_applied: bool) -> None:
        super().__init__()
        self.entries['vm-1'] = _OWN
        self._may_have_applied = may_have_applied
        self._is_first = True

    async def put_vm(
        self, name: str, entry: VmEntry
    ) -> Result[bool, PlatformFailure]:
        if self._is_first:
            self._is_first = False
            kind = PlatformFailureKind.UNAVAILABLE
            failure = PlatformFailure(kind, 'busy', self._may_have_applied)
            return Failure(failure)
        return Success(name in self.entries)


@pytest.mark.parametrize('may_have_applied', [False, True])
async def test_write_that_did_nothing_hides_no_entry(
    monkeypatch: pytest.MonkeyPatch, may_have_applied: bool
) -> None:
    """Guards against a restarted VM that takes itself for a new one, since the
    store turned its first write away. It would lend no share of the limits of
    accounts for a minute, and with it all others that were restarted.
    """
    monkeypatch.setattr(
        'nutmegstep.gateway.vm_registration._RETRY_DELAY',
        timedelta(milliseconds=5),
    )
    counts: list[VmsCounted] = []
    counted = asyncio.Event()

    def record(event: VmsCounted) -> None:
        counts.append(event)
        counted.set()

    registrar = VmRegistrar(
        _BusyStore(may_have_applied=may_have_applied),
        SystemClock(),
        'vm-1',
        _OWN,
        VmCallbacks(record, lambda choice: None, lambda addresses: None),
        is_first_start=False,
    )
    availability = StoreAvailability(SystemClock(), lambda: None)
    task = asyncio.create_task(registrar.run(availability, Random(1)))
    await asyncio.wait_for(counted.wait(), 5)
    task.cancel()
    assert counts[0].is_counted is not may_have_applied
