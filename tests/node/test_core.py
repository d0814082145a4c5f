"""Tests of control planes with loopback sockets and a fake platform."""

import asyncio
from collections.abc import Callable
from random import Random

from nutmegstep.clock import SystemClock
from nutmegstep.declarations import (
    ControlChange,
    ControlSubject,
    decode_control,
    encode_fleet,
)
from nutmegstep.engine.events import (
    ControlChanged,
    Event,
    FleetChanged,
    LeasesChanged,
    TargetReportedWarm,
)
from nutmegstep.membership import ListedVm
from nutmegstep.model import Fleet, Target
from nutmegstep.node import (
    ControlPlane,
    NodeCallbacks,
    NodeSettings,
    StoredObject,
    WatchReply,
)
from nutmegstep.peers import (
    ClaimReport,
    ClaimState,
    PeerClient,
    Traffic,
)

_TARGET = Target('t', '127.0.0.1', 1, 'd1', 2, 1, 9)
_FLEET = Fleet(3, {}, {'t': _TARGET}, 2, {'d1': 2})
_KEY = bytes(16)


class _Platform:
    """Fake of the object API that can be unreachable."""

    def __init__(self) -> None:
        self.unreachable = False
        self.revision = 0
        self.vms: tuple[ListedVm, ...] = ()
        self.stored: dict[str, StoredObject] = {}

    async def get(self, name: str) -> StoredObject | None:
        """Return an object."""
        self._raise_if_unreachable()
        return self.stored.get(name)

    async def put(self, name: str, document: bytes, tag: str | None) -> bool:
        """Write when the tag matches."""
        self._raise_if_unreachable()
        current = self.stored.get(name)
        if tag != getattr(current, 'tag', None):
            return False
        self.write(name, document)
        return True

    async def watch(
        self, names: tuple[str, ...], since: int, timeout: float
    ) -> WatchReply:
        """Return changes, after a short wait."""
        await asyncio.sleep(0.05)
        self._raise_if_unreachable()
        changed = tuple(
            self.stored[name]
            for name in names
            if name in self.stored and self.stored[name].version > since
        )
        return WatchReply(self.revision, changed)

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the list."""
        self._raise_if_unreachable()
        return self.vms

    def write(self, name: str, document: bytes) -> None:
        """Store an object under a new version."""
        self.revision += 1
        tag = f'"{self.revision}"'
        self.stored[name] = StoredObject(name, tag, self.revision, document)

    def _raise_if_unreachable(self) -> None:
        if self.unreachable:
            raise ConnectionError('the platform is unreachable')


async def _claim_status(key: bytes) -> ClaimReport:
    return ClaimReport(ClaimState.FINISHED, key)


def _plane(
    name: str, platform: _Platform, events: list[Event], *seeds: str
) -> ControlPlane:
    return ControlPlane(
        NodeSettings(name, 'd1', '127.0.0.1', seeds=seeds),
        platform,
        SystemClock(),
        NodeCallbacks(events.append, _claim_status, lambda request_id: b'null'),
        Random(name),
    )


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.02)


async def test_platform_outage() -> None:
    """Guards against state that is lost or reverted by a platform outage.

    A VM that starts during the outage must get the configuration from its
    peer. An operator's change during the outage must reach the platform after
    it, and an older configuration on the platform must not be adopted.
    """
    platform = _Platform()
    platform.write('config/fleet', encode_fleet(_FLEET))
    first_events: list[Event] = []
    events: list[Event] = []
    first = _plane('vm-1', platform, first_events)
    address = await first.start()
    platform.unreachable = True
    second = _plane('vm-2', platform, events, address)
    await second.start()
    assert (
        first.state.configuration_source,
        second.state.configuration_source,
    ) == ('platform', 'peers')
    assert FleetChanged(_FLEET) in events
    client = PeerClient(Traffic(), timeout=10)
    change = ControlChange(ControlSubject.FAILURE_DOMAIN, 'd2', True, 'ilze')
    await _until(lambda: 'vm-2' in first.state.membership.members_by_name)
    await client.apply_control(address, change)
    withdrawn = ControlChanged(frozenset(('d2',)), frozenset())
    await _until(lambda: withdrawn in events)
    platform.write('config/fleet', encode_fleet(Fleet(2, {}, {}, 1, {})))
    platform.unreachable = False
    await _until(lambda: 'control/state' in platform.stored)
    stored = decode_control(platform.stored['control/state'].document)
    assert stored.failure_domains_by_name['d2'].changed_by == 'ilze'
    assert first.state.fleet == second.state.fleet == _FLEET
    await client.close()
    await second.stop()
    await first.stop()


async def test_leases_warm_reports_and_claims() -> None:
    """Guards against leases and warm reports that do not reach the engines.

    Also checks that only one of two VMs gets the lease of a target, that it is
    released at the stop, and that the state of a claim is fetched from the
    process that made it.
    """
    platform = _Platform()
    platform.write('config/fleet', encode_fleet(_FLEET))
    events: list[Event] = []
    first = _plane('vm-1', platform, events)
    address = await first.start()
    second = _plane('vm-2', platform, events, address)
    platform.vms = (
        first.state.own.vm,
        ListedVm('vm-2', 'd1', await second.start()),
    )
    first.set_cold_targets(frozenset('t'))
    second.set_cold_targets(frozenset('t'))
    first.report_warm('w', 'boot-1')
    await _until(lambda: events.count(TargetReportedWarm('w', 'boot-1')) == 2)
    await _until(
        lambda: any(
            isinstance(event, LeasesChanged) and event.lease_expiry_by_target
            for event in events
        )
    )
    allowed = [
        bool(plane.state.lease_expiry_by_target) for plane in (first, second)
    ]
    assert sum(allowed) == 1
    claimer = second.state.own.incarnation
    report = await first.claim_status(claimer, _KEY)
    assert report == ClaimReport(ClaimState.FINISHED, _KEY)
    unknown = await first.claim_status(1, _KEY)
    assert unknown.state is ClaimState.UNKNOWN
    await second.stop()
    await first.stop()
    assert not second.state.lease_expiry_by_target
