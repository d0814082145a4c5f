"""Gateways over loopback connections."""

from collections.abc import AsyncIterator

import pytest

from nutmegstep.gateway.neighbours import serve_neighbours
from tests.gateway.pair import Pair, Vm, not_found


@pytest.fixture
async def pair() -> AsyncIterator[Pair]:
    """Return two gateways with the same configuration."""
    coordinator = Vm()
    server = await serve_neighbours(
        ('127.0.0.1', 0), coordinator.answer_delegated, not_found
    )
    made = Pair(Vm(), coordinator, server)
    made.use(server.sockets[0].getsockname()[1])
    yield made
    made.member.gateway.close()
    server.close()
