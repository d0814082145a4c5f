"""Fixtures with a platform stand-in and entry VMs."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import asdict, dataclass
from datetime import timedelta
from random import Random

import orjson
import pytest

from nutmegstep.clock import SystemClock
from nutmegstep.engine.events import Event
from nutmegstep.engine.explaining import Explanation
from nutmegstep.node import (
    ControlPlane,
    NodeCallbacks,
    NodeSettings,
)
from nutmegstep.node.platform import PlatformObjects
from nutmegstep.peers import ClaimReport, ClaimState, TlsFiles
from nutmegstep.platform_api import ObjectClient
from nutmegstep.standins.platform import PlatformStandIn
from nutmegstep.verdict import Reason, Verdict, refuse
from nutmegstep.web import HttpLimits, serve_http

_TIMEOUT = timedelta(milliseconds=200)
_RELAY_TIMEOUT = timedelta(seconds=1)


@dataclass(frozen=True)
class Platform:
    """A platform stand-in that accepts connections, with a client."""

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


class Objects(PlatformObjects):
    """Objects of the platform with a hook before the next write.

    `before_put` is awaited once, and then removed.
    """

    def __init__(self, client: ObjectClient) -> None:
        super().__init__(client)
        self.client = client
        self.before_put: Callable[[], Awaitable[object]] | None = None

    async def put(self, name: str, document: bytes, tag: str | None) -> bool:
        """Write an object if its entity tag matches."""
        before = self.before_put
        self.before_put = None
        if before is not None:
            await before()
        return await super().put(name, document, tag)


@dataclass(frozen=True)
class EntryVm:
    """A running control plane with its events, objects and address."""

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
    """Return a function that starts the control plane of a named VM."""
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
