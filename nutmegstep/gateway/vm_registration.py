"""Registers this VM in the store and reads the entries of the other VMs."""

import asyncio
import logging
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random
from typing import Final

from returns.pipeline import is_successful
from returns.result import Result

from nutmegstep.clock import Clock
from nutmegstep.coordinators import choose_coordinators
from nutmegstep.dispatch.control_events import VmsCounted
from nutmegstep.gateway.adapter import Store
from nutmegstep.platform_api.records import PlatformFailure
from nutmegstep.relay import RelayChoice, choose_relays
from nutmegstep.store_watch import StoreAvailability
from nutmegstep.store_watch.vm_registry import (
    RENEWAL_INTERVAL,
    VmEntry,
    VmRegistry,
)
from nutmegstep.store_watch.waiting import wait_any

__all__ = ['VmCallbacks', 'VmRegistrar']

_LOG: Final = logging.getLogger(__name__)
_DELAY_AFTER_FIRST_READ: Final = timedelta(milliseconds=500)
"""Shortest time between the first and the second read of the entries. VMs that
start together have written theirs by then."""
_FIRST_START_DELAY: Final = timedelta(seconds=2.5)
"""Time between the write and the first read when all VMs start for the first
time. All entries are written by then, and a stale read returns them. Relays
that are chosen from fewer entries cost additional calls to the store."""
_DELAY_AFTER_SECOND_READ: Final = timedelta(seconds=4)
"""Shortest time between the second and the third read; the earlier ones may
have been some seconds stale."""
_READ_INTERVAL: Final = timedelta(seconds=25)
"""Shortest time between further reads. All reads accept a stale answer, which
costs a tenth of a call."""
_RETRY_DELAY: Final = timedelta(seconds=2)
"""Shortest time after a failed write or read before it is tried again."""
_RESTORED_SPREAD_S: Final = 2.0
"""Time in seconds over which the VMs write their entries again after a
restoration of the store."""
_REVISION_BITS: Final = 31


def _ignore(entry_by_name: Mapping[str, VmEntry]) -> None:
    """Do nothing; for a VM that exchanges no messages."""


@dataclass(frozen=True, slots=True)
class VmCallbacks:
    """Callbacks for the results of reading the entries of all VMs.

    Parameters
    ----------
    on_count : Callable
        Called with the number of VMs, in total and in the failure domain, and
        with the coordinators of queries.
    on_relays : Callable
        Called with the relays that this VM has to read from.
    on_neighbours : Callable
        Called with the ``host:port`` addresses of the neighbours, which are
        the other VMs of the failure domain.
    on_vms : Callable
        Called with the entries of the other VMs of all failure domains.
    """

    on_count: Callable[[VmsCounted], None]
    on_relays: Callable[[RelayChoice], None]
    on_neighbours: Callable[[Collection[str]], None]
    on_vms: Callable[[Mapping[str, VmEntry]], None] = _ignore


class VmRegistrar:
    """Renews the entry of this VM and counts the VMs that share the targets.

    Parameters
    ----------
    store : Store
        Client of the store that holds the entries.
    clock : Clock
        Monotonic clock that gives the time of each read.
    name : str
        Name of this VM.
    entry : VmEntry
        Failure domain and address of this VM, as the others read them.
    callbacks : VmCallbacks
        Called after each successful read.
    is_first_start : bool
        Whether all VMs start together and have no entries yet.

    Attributes
    ----------
    first_read : asyncio.Event
        Set after the first attempt to read the entries.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        name: str,
        entry: VmEntry,
        callbacks: VmCallbacks,
        is_first_start: bool,
    ) -> None:
        self.first_read = asyncio.Event()
        self._store = store
        self._clock = clock
        self._name = name
        self._entry = entry
        self._callbacks = callbacks
        self._is_first_start = is_first_start
        self._registry = VmRegistry(name, entry.failure_domain)
        self._had_entry: bool | None = None

    async def run(
        self, availability: StoreAvailability, random: Random
    ) -> None:
        """Renew the entry and read those of all VMs until cancelled.

        Parameters
        ----------
        availability : StoreAvailability
            No call is made while the store does not answer.
        random : random.Random
            Spreads the calls of the VMs over time: each delay between two
            calls is prolonged by a random time of up to its length.
        """
        first_delays = iter((_DELAY_AFTER_FIRST_READ, _DELAY_AFTER_SECOND_READ))
        renews_at = self._clock.monotonic()
        while True:
            restored = availability.restored
            now = self._clock.monotonic()
            is_written = now < renews_at or await self._renew(random)
            if is_written and now >= renews_at:
                renews_at = now + RENEWAL_INTERVAL.total_seconds()
            is_done = is_written and await self._read()
            self.first_read.set()
            delay = (
                next(first_delays, _READ_INTERVAL) if is_done else _RETRY_DELAY
            )
            seconds = delay.total_seconds() * (1 + random.random())
            await wait_any((), (restored,), seconds)
            if restored.is_set():
                # The copy may lack the entries of all VMs.
                self._registry.keep_missing(self._clock.monotonic())
                await asyncio.sleep(_RESTORED_SPREAD_S * random.random())
                renews_at = self._clock.monotonic()
            await availability.available.wait()

    async def _renew(self, random: Random) -> bool:
        entry = replace(
            self._entry, revision=random.getrandbits(_REVISION_BITS)
        )
        written = await self._store.put_vm(self._name, entry)
        if self._had_entry is None:
            self._had_entry = _read_had_entry(written)
        if not is_successful(written):
            fields = {'detail': written.failure().detail}
            _LOG.warning('entry of this VM not written', extra=fields)
            return False
        if self._is_first_start and not self.first_read.is_set():
            await asyncio.sleep(_FIRST_START_DELAY.total_seconds())
        return True

    def _count(self, now: float) -> VmsCounted:
        entry_by_name = {**self._registry.others(now), self._name: self._entry}
        return VmsCounted(
            self._registry.count(now),
            self._registry.count_in_domain(now),
            choose_coordinators(self._name, entry_by_name),
            {
                name: entry.failure_domain
                for name, entry in entry_by_name.items()
            },
            is_counted=bool(self._had_entry),
        )

    async def _read(self) -> bool:
        listed = await self._store.list_vms()
        if not is_successful(listed):
            fields = {'detail': listed.failure().detail}
            _LOG.warning('entries of VMs not read', extra=fields)
            return False
        now = self._clock.monotonic()
        self._registry.update(listed.unwrap(), now)
        for name in self._registry.expired_names(now):
            await self._store.delete_vm(name)
        neighbours = self._registry.neighbours(now)
        # Messages that the count causes need the addresses.
        self._callbacks.on_vms(self._registry.others(now))
        self._callbacks.on_count(self._count(now))
        self._callbacks.on_relays(choose_relays(self._name, neighbours))
        self._callbacks.on_neighbours(
            [entry.address for entry in neighbours.values()],
        )
        return True


def _read_had_entry(written: Result[bool, PlatformFailure]) -> bool | None:
    """Return whether there was an entry before the first write of this process.

    A write that may have taken effect hides it for good; one that has done nothing
    leaves it to the next write.
    """
    if is_successful(written):
        return written.unwrap()
    return False if written.failure().may_have_applied else None
