"""Calls of an entry VM to its peers, the other entry VMs."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Final

from nutmegstep.clock import Clock
from nutmegstep.node import exchange
from nutmegstep.node.contacts import contact_addresses
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

__all__ = ['PeerCalls']

_PEER_ERRORS: Final = (PeerError, MessageError, ValueError)
_log = logging.getLogger(__name__)


class PeerCalls:
    """Sends heartbeats to peers and fetches newer control state from them.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    client : PeerClient
        Makes the calls.
    clock : Clock
        Clock for the times of heartbeats and replies.
    seeds : tuple of str
        Addresses (``host:port``) to contact while no other VM is known.
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
        """Run a coroutine in a task, which `close` cancels."""
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send_heartbeats(self) -> None:
        """Start to send a heartbeat to all contacts, without waiting."""
        self.spawn(self.exchange_all(frozenset()))

    def spread_forget(self, name: str) -> None:
        """Forward to all contacts that a stopped VM must leave the rosters."""
        for address in contact_addresses(self._state).values():
            self.spawn(self._forget_at(address, name))

    async def exchange_all(self, released: frozenset[str]) -> None:
        """Send a heartbeat to all contacts and record the replies.

        Parameters
        ----------
        released : frozenset of str
            Targets whose leases this VM releases.
        """
        now = self._clock.monotonic()
        heartbeat = exchange.build_heartbeat(self._state, now, released)
        addresses = set(contact_addresses(self._state).values())
        if not self._state.membership.members_by_name:
            addresses.update(self._seeds)
        addresses.discard(self._state.own.vm.address)
        await asyncio.gather(
            *(
                self._exchange_with(address, heartbeat, now)
                for address in sorted(addresses)
            ),
        )

    def fetch_if_newer(self, address: str, theirs: ControlVersions) -> None:
        """Start to fetch from a peer if its control state may be newer.

        Does nothing while another fetch from the peer is running.

        Parameters
        ----------
        address : str
            Address of the peer.
        theirs : ControlVersions
            Versions of the control state of the peer.
        """
        now = self._clock.monotonic()
        if address in self._fetching:
            return
        if exchange.should_fetch(self._state, theirs, now):
            self.spawn(self._fetch_in_background(address))

    async def fetch(self, address: str) -> bool:
        """Fetch from a peer and merge; return whether the control state changed.

        A failure is logged and counts as no change.
        """
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
            fetched = await self._client.fetch_control(address, known)
        except _PEER_ERRORS as error:
            _log.warning('cannot fetch control state: %s', error)
            return False
        finally:
            self._fetching.discard(address)
        return self._merge_fetched(address, fetched)

    async def claim_status(self, incarnation: int, key: bytes) -> ClaimReport:
        """Return the state of a claim from the process that made it.

        The state is `ClaimState.UNKNOWN` if no VM with the incarnation is
        known or the VM does not answer.
        """
        for member in tuple(self._state.membership.members_by_name.values()):
            if member.incarnation != incarnation:
                continue
            try:
                return await self._client.claim_status(member.vm.address, key)
            except _PEER_ERRORS as error:
                _log.warning('cannot get the state of a claim: %s', error)
        return ClaimReport(ClaimState.UNKNOWN)

    async def close(self) -> None:
        """Cancel all tasks and close the channels."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()

    async def _forget_at(self, address: str, name: str) -> None:
        try:
            await self._client.forget(address, name, spread=False)
        except _PEER_ERRORS as error:
            _log.warning('cannot forward forget: %s', error)

    async def _exchange_with(
        self,
        address: str,
        heartbeat: Heartbeat,
        sent: float,
    ) -> None:
        try:
            reply = await self._client.exchange(address, heartbeat)
        except _PEER_ERRORS as error:
            _log.debug('heartbeat not answered: %s', error)
            return
        now = self._clock.monotonic()
        exchange.record_reply(self._state, reply, sent, now)
        if reply.stale_incarnation:
            _log.error(
                '%s refuses the heartbeats of this process: '
                'it knows a later process of this VM',
                address,
            )
            return
        self.fetch_if_newer(address, reply.versions)

    async def _fetch_in_background(self, address: str) -> None:
        await self.fetch(address)

    def _merge_fetched(self, address: str, fetched: FetchedControl) -> bool:
        now = self._clock.monotonic()
        current = self._state.control.configuration.generation
        try:
            changed = exchange.merge_fetched(self._state, fetched, now)
        except ValueError as error:
            _log.error('control state from %s is not valid: %s', address, error)
            return False
        if self._state.control.configuration.generation > current:
            self._state.configuration_source = 'peers'
        return changed
