"""Control side of an entry process."""

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
from nutmegstep.node.links import PeerLinks
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
    """What the control side is told at its start.

    Parameters
    ----------
    name : str
        Name of the own VM, as in the platform's list.
    failure_domain : str
        Of the own VM.
    host : str
        IP number to listen on and to announce.
    port : int
        TCP port; 0 chooses a free one.
    seeds : tuple of str
        Addresses asked when the platform is away at the start.
    files : TlsFiles or None
        Certificates; None means plaintext on a loopback address.
    """

    name: str
    failure_domain: str
    host: str
    port: int = 0
    seeds: tuple[str, ...] = ()
    files: TlsFiles | None = None


@dataclass(frozen=True, slots=True)
class NodeCallbacks:
    """Functions of the rest of the process.

    Parameters
    ----------
    emit : Callable
        Takes engine events; called from the event loop.
    claim_status : Callable
        Answers peers that ask for the state of a claim by its key.
    explain : Callable
        Returns the JSON document that explains a request.
    ready : Callable, optional
        Tells whether ``/ready`` succeeds.
    """

    emit: Callable[[Event], None]
    claim_status: Callable[[bytes], Awaitable[ClaimReport]]
    explain: Callable[[str], bytes]
    ready: Callable[[], bool] = lambda: True


class ControlPlane:
    """Exchanges control state, membership and promises with the peers.

    Parameters
    ----------
    settings : NodeSettings
        Of the own VM.
    platform : ControlPlatform
        Client of the object API.
    clock : Clock
        The clock that the engine uses.
    callbacks : NodeCallbacks
        Functions of the rest of the process.
    random : random.Random
        Draws the incarnation; must differ between processes.
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
        self._links = PeerLinks(self.state, client, clock, settings.seeds)
        self._server = PeerServer(
            self._handlers(callbacks),
            self.traffic,
            settings.files,
        )

    async def start(self) -> str:
        """Serve, load the control state and return the own address."""
        port = await self._server.start(
            f'{self._settings.host}:{self._settings.port}',
        )
        address = f'{self._settings.host}:{port}'
        vm = replace(self.state.own.vm, address=address)
        self.state.own = replace(self.state.own, vm=vm)
        await self._load()
        state, platform, clock = self.state, self._platform, self._clock
        push = self._links.push
        self._links.spawn(self._beat())
        self._links.spawn(loops.follow_objects(state, platform, clock, push))
        self._links.spawn(loops.follow_list(state, platform, clock))
        return address

    async def stop(self) -> None:
        """Withdraw the own promises, then end all tasks and the server.

        The caller ensures that no request to a cold target is in flight.
        """
        now = self._clock.monotonic()
        handlers.mark_leaving(self.state)
        released = release_all(self.state.leases, now)
        update_leases(self.state, now)
        await self._links.exchange_all(released)
        await self._links.close()
        await self._server.stop()

    def mark_leaving(self) -> None:
        """Announce a drain; the own VM then asks for no promise."""
        handlers.mark_leaving(self.state)
        self._links.push()

    def set_cold_targets(self, targets: frozenset[str]) -> None:
        """Set the cold targets to which the engine would send."""
        self.state.wanted_targets = targets

    def report_warm(self, target: str, boot_id: str) -> None:
        """Tell all peers that a target is warm under a boot identifier."""
        report = WarmReport(target, boot_id)
        warm_reports.record_warm(self.state, report, self._clock.monotonic())

    def forget_warm(self, target: str) -> None:
        """Forget that a target is warm, when its connections were lost."""
        warm_reports.forget_warm(self.state, target, self._clock.monotonic())

    async def claim_status(self, incarnation: int, key: bytes) -> ClaimReport:
        """Ask the claimer; an unknown or silent one gives `UNKNOWN`."""
        return await self._links.claim_status(incarnation, key)

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
            self._on_command,
            self._on_forget,
        )

    def _on_exchange(self, heartbeat: Heartbeat) -> HeartbeatReply:
        now = self._clock.monotonic()
        reply = exchange.answer_heartbeat(self.state, heartbeat, now)
        if not reply.stale_incarnation:
            address = heartbeat.sender.vm.address
            self._links.fetch_newer(address, heartbeat.versions)
        return reply

    def _on_command(self, change: ControlChange) -> Register:
        register = handlers.apply_command(self.state, change)
        self._links.push()
        return register

    def _on_forget(self, name: str, spread: bool) -> bool:
        tell = self._links.spread_forget if spread else None
        return handlers.forget_vm(self.state, name, tell)

    async def _load(self) -> None:
        try:
            await relay.load_all(self.state, self._platform)
        except loops.PLATFORM_ERRORS as error:
            _log.warning('no platform at the start: %s', error)
        else:
            return
        for address in self._settings.seeds:
            await self._links.fetch(address)

    async def _beat(self) -> None:
        while True:
            now = self._clock.monotonic()
            record_tick(self.state.membership, now)
            prune(self.state.membership, now)
            drop_expired(self.state.leases, now)
            update_leases(self.state, now)
            self._links.push()
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
