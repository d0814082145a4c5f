"""Platform stand-in for the tests of commands."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

import pytest

from nutmegstep.platform_api import ObjectClient
from nutmegstep.standins.platform import PlatformStandIn
from nutmegstep.web import HttpLimits, serve_http

_TIMEOUT = timedelta(milliseconds=200)


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
