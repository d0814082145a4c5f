"""Control plane of an entry process: its tasks and its interfaces."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.declarations import ControlChange, Register
from nutmegstep.engine.events import Event
from nutmegstep.leases import LeaseState, drop_expired, release_all
from nutmegstep.membership import (
    Identity,
    ListedVm,
    MembershipState,
    prune,
    record_tick,
)
from nutmegstep.node import exchange, handlers, loops, relay, warm_reports
from nutmegstep.node.documents import encode_registers
from nutmegstep.node.peer_calls import PeerCalls
from nutmegstep.node.ports import ControlPlatform
from nutmegstep.node.state import NodeState, update_leases
from nutmegstep.peers import (
    ClaimReport,
    Heartbeat,
    HeartbeatReply,
    PeerClient,
    PeerHandlers,
    PeerServer,
    Process,
    TlsFiles,
    Traffic,
    WarmReport,
    encode_status,
)

__all__ = ['ControlPlane', 'NodeCallbacks', 'NodeSettings']

_HEARTBEAT_SECONDS: Final = 0.5
_INCARNATION_BITS: Final = 64
_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of the control plane.

    Parameters
    ----------
    name : str
        Name of this VM in the platform's VM list.
    failure_domain : str
        Failure domain of this VM.
    host : str
        IP address to listen on, which is also announced to the other VMs.
    port : int
        TCP port to listen on; 0 selects a free port.
    seeds : tuple of str
        Addresses (``host:port``) of entry VMs to contact while no other VM is
        known. The control state is fetched from them if the platform cannot
        be reached at the start.
    files : TlsFiles or None
        Paths of the certificates. None means plaintext, which is allowed only
        on a loopback address.
    """

    name: str
    failure_domain: str
    host: str
    port: int = 0
    seeds: tuple[str, ...] = ()
    files: TlsFiles | None = None


@dataclass(frozen=True, slots=True)
class NodeCallbacks:
    """Functions of the entry process that the control plane calls.

    Parameters
    ----------
    emit : Callable
        Called with each engine event, always from the event loop.
    claim_status : Callable
        Returns the state of a claim of this VM by its key, for peers.
    explain : Callable
        Returns the JSON document that explains the request with an identifier.
    ready : Callable, optional
        Returns whether the health check ``/ready`` succeeds.
    """

    emit: Callable[[Event], None]
    claim_status: Callable[[bytes], Awaitable[ClaimReport]]
    explain: Callable[[str], bytes]
    ready: Callable[[], bool] = lambda: True


class ControlPlane:
    """Exchanges control state, membership and leases with the other VMs.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this VM.
    platform : ControlPlatform
        Client of the object API.
    clock : Clock
        Clock of the engine.
    callbacks : NodeCallbacks
        Functions of the entry process that the control plane calls.
    random : random.Random
        Generator from which the incarnation of this process is drawn. Its
        seed must differ between processes.

    Attributes
    ----------
    traffic : Traffic
        Counts of the messages with peers and operators.
    state : NodeState
        State of the control plane.
    """

    def __init__(
        self,
        settings: NodeSettings,
        platform: ControlPlatform,
        clock: Clock,
        callbacks: NodeCallbacks,
        random: Random,
    ) -> None:
        self.traffic = Traffic()
        self.state = _new_state(settings, clock, callbacks.emit, random)
        self._settings = settings
        self._platform = platform
        self._clock = clock
        client = PeerClient(self.traffic, settings.files)
        self._peer_calls = PeerCalls(self.state, client, clock, settings.seeds)
        self._server = PeerServer(
            self._handlers(callbacks),
            self.traffic,
            settings.files,
        )

    async def start(self) -> str:
        """Start the server and the tasks, and load the control state.

        Returns
        -------
        str
            Address (``host:port``) of this VM for its peers.
        """
        port = await self._server.start(
            f'{self._settings.host}:{self._settings.port}',
        )
        address = f'{self._settings.host}:{port}'
        vm = replace(self.state.own.vm, address=address)
        self.state.own = replace(self.state.own, vm=vm)
        await self._load()
        state, platform, clock = self.state, self._platform, self._clock
        send_heartbeats = self._peer_calls.send_heartbeats
        self._peer_calls.spawn(self._run_heartbeats())
        self._peer_calls.spawn(
            loops.watch_objects(state, platform, clock, send_heartbeats)
        )
        self._peer_calls.spawn(loops.poll_vm_list(state, platform, clock))
        return address

    async def stop(self) -> None:
        """Release the leases of this VM, then end all tasks and the server.

        The caller ensures that no request to a cold target is in flight.
        """
        now = self._clock.monotonic()
        handlers.mark_leaving(self.state)
        released = release_all(self.state.leases, now)
        update_leases(self.state, now)
        await self._peer_calls.exchange_all(released)
        await self._peer_calls.close()
        await self._server.stop()

    def mark_leaving(self) -> None:
        """Announce to the other VMs that this VM is leaving.

        From now on it requests no leases.
        """
        handlers.mark_leaving(self.state)
        self._peer_calls.send_heartbeats()

    def set_cold_targets(self, targets: frozenset[str]) -> None:
        """Set the cold targets for which the engine needs leases."""
        self.state.wanted_targets = targets

    def report_warm(self, target: str, boot_id: str) -> None:
        """Report to the other VMs that a target is warm.

        Parameters
        ----------
        target : str
            Name of the target.
        boot_id : str
            Boot identifier of the target process that is warm.
        """
        report = WarmReport(target, boot_id)
        warm_reports.record_warm(self.state, report, self._clock.monotonic())

    def forget_warm(self, target: str) -> None:
        """Stop reporting a target as warm, as its connections were lost."""
        warm_reports.forget_warm(self.state, target, self._clock.monotonic())

    async def claim_status(self, incarnation: int, key: bytes) -> ClaimReport:
        """Return the state of a claim that another entry process made.

        Parameters
        ----------
        incarnation : int
            Incarnation of the process that made the claim.
        key : bytes
            Key of the claim.

        Returns
        -------
        ClaimReport
            Reply of that process; `ClaimState.UNKNOWN` if the process is not
            known or does not answer.
        """
        return await self._peer_calls.claim_status(incarnation, key)

    def _handlers(self, callbacks: NodeCallbacks) -> PeerHandlers:
        return PeerHandlers(
            self._on_exchange,
            lambda known: exchange.answer_fetch(
                self.state,
                known,
                self._clock.monotonic(),
            ),
            callbacks.claim_status,
            lambda: encode_status(
                handlers.entry_status(
                    self.state,
                    self.traffic,
                    self._clock.monotonic(),
                    is_ready=callbacks.ready(),
                ),
            ),
            callbacks.explain,
            lambda: encode_registers(self.state.control),
            self._on_operator_change,
            self._on_forget,
        )

    def _on_exchange(self, heartbeat: Heartbeat) -> HeartbeatReply:
        now = self._clock.monotonic()
        reply = exchange.answer_heartbeat(self.state, heartbeat, now)
        if not reply.stale_incarnation:
            address = heartbeat.sender.vm.address
            self._peer_calls.fetch_if_newer(address, heartbeat.versions)
        return reply

    def _on_operator_change(self, change: ControlChange) -> Register:
        register = handlers.apply_operator_change(self.state, change)
        self._peer_calls.send_heartbeats()
        return register

    def _on_forget(self, name: str, spread: bool) -> bool:
        forward = self._peer_calls.spread_forget if spread else None
        return handlers.forget_vm(self.state, name, forward)

    async def _load(self) -> None:
        try:
            await relay.load_all(self.state, self._platform)
        except loops.PLATFORM_ERRORS as error:
            _log.warning(
                'cannot read from the platform at the start: %s', error
            )
        else:
            return
        for address in self._settings.seeds:
            await self._peer_calls.fetch(address)

    async def _run_heartbeats(self) -> None:
        while True:
            now = self._clock.monotonic()
            record_tick(self.state.membership, now)
            prune(self.state.membership, now)
            drop_expired(self.state.leases, now)
            update_leases(self.state, now)
            self._peer_calls.send_heartbeats()
            await asyncio.sleep(_HEARTBEAT_SECONDS)


def _new_state(
    settings: NodeSettings,
    clock: Clock,
    emit: Callable[[Event], None],
    random: Random,
) -> NodeState:
    now = clock.monotonic()
    incarnation = random.getrandbits(_INCARNATION_BITS)
    identity = Identity(settings.name, incarnation)
    address = f'{settings.host}:{settings.port}'
    vm = ListedVm(settings.name, settings.failure_domain, address)
    return NodeState(
        Process(vm, incarnation),
        MembershipState(identity, settings.failure_domain, now),
        LeaseState(identity, now),
        emit,
    )
