"""Calls of an entry process to its peers."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Final

from nutmegstep.clock import Clock
from nutmegstep.node import exchange
from nutmegstep.node.contacts import choose_contacts
from nutmegstep.node.state import NodeState
from nutmegstep.peers import (
    ClaimReport,
    ClaimState,
    ControlVersions,
    FetchedControl,
    Heartbeat,
    KnownVersions,
    MessageError,
    PeerClient,
    PeerError,
)

__all__ = ['PeerLinks']

_PEER_ERRORS: Final = (PeerError, MessageError, ValueError)
_log = logging.getLogger(__name__)


class PeerLinks:
    """Exchanges with peers and fetches what they have newer.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    client : PeerClient
        Makes the calls.
    clock : Clock
        Dates what was sent and heard.
    seeds : tuple of str
        Addresses contacted while no other VM is known.
    """

    def __init__(
        self,
        state: NodeState,
        client: PeerClient,
        clock: Clock,
        seeds: tuple[str, ...],
    ) -> None:
        self._state = state
        self._client = client
        self._clock = clock
        self._seeds = seeds
        self._tasks: set[asyncio.Task[None]] = set()
        self._fetching: set[str] = set()

    def spawn(self, call: Coroutine[Any, Any, None]) -> None:
        """Run a call in a task that `close` ends."""
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def push(self) -> None:
        """Send a heartbeat to all contacts now."""
        self.spawn(self.exchange_all(frozenset()))

    def spread_forget(self, name: str) -> None:
        """Tell all contacts to drop a dead VM from their rosters."""
        for address in choose_contacts(self._state).values():
            self.spawn(self._forget_at(address, name))

    async def exchange_all(self, released: frozenset[str]) -> None:
        """Send a heartbeat to all contacts and take the replies."""
        now = self._clock.monotonic()
        heartbeat = exchange.build_heartbeat(self._state, now, released)
        addresses = set(choose_contacts(self._state).values())
        if not self._state.membership.members_by_name:
            addresses.update(self._seeds)
        addresses.discard(self._state.own.vm.address)
        await asyncio.gather(
            *(
                self._exchange(address, heartbeat, now)
                for address in sorted(addresses)
            ),
        )

    def fetch_newer(self, address: str, theirs: ControlVersions) -> None:
        """Fetch from a peer that may have something newer."""
        now = self._clock.monotonic()
        if address in self._fetching:
            return
        if exchange.should_fetch(self._state, theirs, now):
            self.spawn(self._fetch_quietly(address))

    async def fetch(self, address: str) -> bool:
        """Fetch from a peer; return whether the control state changed."""
        control = self._state.control
        known = KnownVersions(
            control.configuration.generation,
            {
                index: catalogue.version
                for index, catalogue in control.catalogues_by_index.items()
            },
        )
        self._fetching.add(address)
        try:
            document = await self._client.fetch_control(address, known)
        except _PEER_ERRORS as error:
            _log.warning('fetch failed: %s', error)
            return False
        finally:
            self._fetching.discard(address)
        return self._learn(address, document)

    async def claim_status(self, incarnation: int, key: bytes) -> ClaimReport:
        """Ask the claimer; an unknown or silent one gives `UNKNOWN`."""
        for member in tuple(self._state.membership.members_by_name.values()):
            if member.incarnation != incarnation:
                continue
            try:
                return await self._client.claim_status(member.vm.address, key)
            except _PEER_ERRORS as error:
                _log.warning('claim status: %s', error)
        return ClaimReport(ClaimState.UNKNOWN)

    async def close(self) -> None:
        """End all tasks and channels."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()

    async def _forget_at(self, address: str, name: str) -> None:
        try:
            await self._client.forget(address, name, spread=False)
        except _PEER_ERRORS as error:
            _log.warning('forget was not spread: %s', error)

    async def _exchange(
        self,
        address: str,
        heartbeat: Heartbeat,
        sent: float,
    ) -> None:
        try:
            reply = await self._client.exchange(address, heartbeat)
        except _PEER_ERRORS as error:
            _log.debug('exchange failed: %s', error)
            return
        now = self._clock.monotonic()
        exchange.record_reply(self._state, reply, sent, now)
        if reply.stale_incarnation:
            _log.error('%s knows a later run of this VM', address)
            return
        self.fetch_newer(address, reply.versions)

    async def _fetch_quietly(self, address: str) -> None:
        await self.fetch(address)

    def _learn(self, address: str, document: FetchedControl) -> bool:
        now = self._clock.monotonic()
        current = self._state.control.configuration.generation
        try:
            changed = exchange.merge_fetched(self._state, document, now)
        except ValueError as error:
            _log.error('control state of %s is not valid: %s', address, error)
            return False
        if self._state.control.configuration.generation > current:
            self._state.source = 'peers'
        return changed
