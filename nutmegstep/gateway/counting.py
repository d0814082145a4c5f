"""Keeps this VM's entry and counts the others."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Final

from returns.pipeline import is_successful

from nutmegstep.clock import Clock
from nutmegstep.dispatch.events import VmsCounted
from nutmegstep.following import StoreContact
from nutmegstep.following.census import RENEW_EVERY, VmCensus
from nutmegstep.gateway.adapter import Store

__all__ = ['VmCounter']

_LOG: Final = logging.getLogger(__name__)
_FIRST_READ: Final = timedelta(seconds=1)
"""VMs that start together have written their entries by then."""
_READ_EVERY: Final = timedelta(seconds=15)
"""Time between reads; each may be stale, which costs a tenth of a call."""
_RETRY: Final = timedelta(seconds=2)


class VmCounter:
    """Estimates how many VMs share the targets.

    Parameters
    ----------
    store : Store
        Where the entries are.
    contact : StoreContact
        Nothing is called while the store does not answer.
    clock : Clock
        Dates what was read.
    name : str
        Name of this VM.
    failure_domain : str
        Failure domain of this VM.
    """

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        clock: Clock,
        name: str,
        failure_domain: str,
    ) -> None:
        self._store = store
        self._contact = contact
        self._clock = clock
        self._name = name
        self._failure_domain = failure_domain
        self._census = VmCensus(name, failure_domain)

    async def run(
        self,
        report: Callable[[VmsCounted], None],
        random: Random,
    ) -> None:
        """Renew, read and report until cancelled.

        Parameters
        ----------
        report : Callable
            Takes the count after each read.
        random : random.Random
            Spreads the calls of the VMs.
        """
        renews_at = self._clock.monotonic()
        pause = _FIRST_READ
        while True:
            await self._contact.regained.wait()
            now = self._clock.monotonic()
            if now >= renews_at:
                renewed = await self._renew(random)
                pause = _FIRST_READ if renewed else _RETRY
                if renewed:
                    renews_at = now + RENEW_EVERY.total_seconds()
            elif await self._read(report):
                pause = _READ_EVERY
            else:
                pause = _RETRY
            await asyncio.sleep(pause.total_seconds() * (1 + random.random()))

    async def _renew(self, random: Random) -> bool:
        written = await self._store.put_vm(
            self._name,
            self._failure_domain,
            random.getrandbits(32),
        )
        if not is_successful(written):
            fields = {'detail': written.failure().detail}
            _LOG.warning('entry of this VM not written', extra=fields)
        return is_successful(written)

    async def _read(self, report: Callable[[VmsCounted], None]) -> bool:
        listed = await self._store.list_vms()
        if not is_successful(listed):
            fields = {'detail': listed.failure().detail}
            _LOG.warning('entries of VMs not read', extra=fields)
            return False
        now = self._clock.monotonic()
        self._census.observe(listed.unwrap(), now)
        for name in self._census.forgotten(now):
            await self._store.delete_vm(name)
        report(
            VmsCounted(
                self._census.count(now),
                self._census.count_in_domain(now),
            ),
        )
        return True
