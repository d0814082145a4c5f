"""Platform stand-in and entry VMs for the tests of commands."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import asdict, dataclass
from datetime import timedelta
from random import Random

import orjson
import pytest
from returns.pipeline import is_successful

from nutmegstep.clock import SystemClock
from nutmegstep.engine.events import Event
from nutmegstep.engine.explaining import Explanation
from nutmegstep.membership import ListedVm
from nutmegstep.node import (
    ControlPlane,
    NodeCallbacks,
    NodeSettings,
    StoredObject,
    WatchReply,
)
from nutmegstep.peers import ClaimReport, ClaimState, TlsFiles
from nutmegstep.platform_api import ObjectClient, PlatformFailureKind
from nutmegstep.standins.platform import PlatformStandIn
from nutmegstep.verdict import Reason, Verdict, refuse
from nutmegstep.web import HttpLimits, serve_http

_TIMEOUT = timedelta(milliseconds=200)
_RELAY_TIMEOUT = timedelta(seconds=1)


@dataclass(frozen=True)
class Platform:
    """A stand-in that listens, with a client."""

    standin: PlatformStandIn
    client: ObjectClient
    address: str


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    """Platform stand-in on a loopback address."""
    standin = PlatformStandIn()
    limits = HttpLimits(body_bytes=1_000_000)
    server = await serve_http(standin.handle, '127.0.0.1', 0, limits)
    port = server.sockets[0].getsockname()[1]
    client = ObjectClient('127.0.0.1', port, timeout=_TIMEOUT)
    yield Platform(standin, client, f'127.0.0.1:{port}')
    client.close()
    server.close()


class Objects:
    """Objects of the stand-in as a control plane reads them.

    `before_put` is awaited once, before the next write.
    """

    def __init__(self, client: ObjectClient) -> None:
        self.client = client
        self.before_put: Callable[[], Awaitable[object]] | None = None

    async def get(self, name: str) -> StoredObject | None:
        """Return an object; the entity tag holds the number of its write."""
        called = await self.client.get(name)
        if not is_successful(called):
            self._raise_unless(called, PlatformFailureKind.NOT_FOUND)
            return None
        tag = called.unwrap().version
        number = int(tag.strip('"'))
        return StoredObject(name, tag, number, called.unwrap().document)

    async def put(self, name: str, document: bytes, tag: str | None) -> bool:
        """Write when the tag matches."""
        before = self.before_put
        self.before_put = None
        if before is not None:
            await before()
        called = await self.client.put(name, document, tag)
        if not is_successful(called):
            self._raise_unless(called, PlatformFailureKind.CONFLICT)
        return is_successful(called)

    async def watch(
        self, names: tuple[str, ...], since: int, timeout: float
    ) -> WatchReply:
        """Wait for a change."""
        called = await self.client.watch(names, since)
        self._raise_unless(called, None)
        reply = called.unwrap()
        found = [await self.get(one.name) for one in reply.changed]
        return WatchReply(reply.revision, tuple(filter(None, found)))

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the list."""
        called = await self.client.vms()
        self._raise_unless(called, None)
        return tuple(
            ListedVm(vm.name, vm.failure_domain, vm.address, vm.leaving)
            for vm in called.unwrap()
        )

    def _raise_unless(self, called, accepted) -> None:
        if not is_successful(called) and called.failure().kind != accepted:
            raise ConnectionError(called.failure().detail)


@dataclass(frozen=True)
class EntryVm:
    """A control plane that runs, with its events and address."""

    plane: ControlPlane
    events: list[Event]
    objects: Objects
    address: str


async def _claim_status(key: bytes) -> ClaimReport:
    return ClaimReport(ClaimState.UNKNOWN)


def _explain(request_id: str) -> bytes:
    if request_id != 'request-1':
        return b'[]'
    refusal = refuse(Verdict.NOT_RUN, Reason.DRAINING, 'the VM leaves')
    found = Explanation((request_id,), 'desk', 'refused', 0, refusal=refusal)
    return orjson.dumps([asdict(found)], default=str)


@pytest.fixture
async def start_vm(platform: Platform) -> AsyncIterator[Callable[..., object]]:
    """Return the function that starts a control plane by name."""
    running: list[EntryVm] = []

    async def start(
        name: str, seeds: tuple[str, ...] = (), files: TlsFiles | None = None
    ) -> EntryVm:
        host, port = platform.address.split(':')
        client = ObjectClient(host, int(port), timeout=_RELAY_TIMEOUT)
        objects = Objects(client)
        events: list[Event] = []
        plane = ControlPlane(
            NodeSettings(name, 'd1', '127.0.0.1', seeds=seeds, files=files),
            objects,
            SystemClock(),
            NodeCallbacks(events.append, _claim_status, _explain),
            Random(name),
        )
        address = await plane.start()
        running.append(EntryVm(plane, events, objects, address))
        return running[-1]

    yield start
    for vm in running:
        await vm.plane.stop()
        vm.objects.client.close()
