"""Planned stop of a gateway: no request of a caller is cut."""

import asyncio
import socket
import time
from datetime import timedelta

import pytest

from nutmegstep.gateway.lifecycle import drain
from nutmegstep.web import HttpRequest, HttpResponse, HttpServer, serve_http

_GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
_DELAY = 'nutmegstep.gateway.lifecycle._BALANCER_DELAY_S'
_GRACE = timedelta(seconds=2.4)


class _Vm:
    """A server for callers that counts its open requests."""

    def __init__(self) -> None:
        self.open_requests = 0
        self.server: HttpServer

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer after a short time."""
        self.open_requests += 1
        await asyncio.sleep(0.05)
        self.open_requests -= 1
        return HttpResponse(200, b'{}')

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the server."""
        host, port = self.server.sockets[0].getsockname()
        return await asyncio.open_connection(host, port)

    async def drain_with_backlog(self, connecting: socket.socket) -> bool:
        """Stop with a connection that is not accepted yet; ask on it."""
        self.server.close()
        stopping = asyncio.create_task(self.drain())
        assert self.server.pending_connections == 1
        connecting.sendall(_GET)
        answered = await stopping
        assert connecting.recv(100).startswith(b'HTTP/1.1 200')
        return answered

    async def drain(self) -> bool:
        """Stop as the process does."""
        return await drain(self.server, lambda: self.open_requests, _GRACE)


@pytest.fixture
async def vm(monkeypatch: pytest.MonkeyPatch) -> _Vm:
    """Return a VM whose load balancer reacts at once."""
    monkeypatch.setattr(_DELAY, 0.1)
    made = _Vm()
    made.server = await serve_http(made.answer, '127.0.0.1', 0)
    return made


async def test_half_received_request_is_answered(vm: _Vm) -> None:
    """Guards against a stop that ends the process while a request is being
    read: the VM is about to close its listener and has no open request.
    """
    reader, writer = await vm.connect()
    writer.write(_GET[:10])
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(vm.drain())
    await asyncio.sleep(1.15)
    assert not stopping.done()
    writer.write(_GET[10:])
    answer = await asyncio.wait_for(reader.read(), 2)
    assert answer.startswith(b'HTTP/1.1 200')
    writer.close()
    assert await stopping


async def test_connection_accepted_last_gets_its_answer(vm: _Vm) -> None:
    """Guards against a connection that the VM accepts as it closes its
    listener, and whose request arrives a moment later.
    """
    idle_reader, idle_writer = await vm.connect()
    idle_writer.write(_GET)
    await idle_reader.readuntil(b'{}')
    stopping = asyncio.create_task(vm.drain())
    await asyncio.sleep(0.9)
    reader, writer = await vm.connect()
    await asyncio.sleep(0.3)
    assert not stopping.done()
    writer.write(_GET)
    answer = await asyncio.wait_for(reader.read(), 2)
    assert answer.startswith(b'HTTP/1.1 200')
    writer.close()
    idle_writer.close()
    assert await stopping


async def test_connection_in_the_backlog_gets_its_answer(vm: _Vm) -> None:
    """Guards against a stop that ends while a connection of the backlog is being
    accepted. The day inc-617c of tagpuan-pahayag lost a request that way.
    """
    connecting = socket.create_connection(vm.server.sockets[0].getsockname())
    assert await vm.drain_with_backlog(connecting)
    connecting.close()


async def test_connection_accepted_in_the_turn_of_the_close(vm: _Vm) -> None:
    """Guards against a stop that ends before the server knows a connection that
    the event loop has accepted. A hunted day of dzk-meklesana lost a query that way.
    """
    idle_reader, idle_writer = await vm.connect()
    idle_writer.write(_GET)
    await idle_reader.readuntil(b'{}')
    stopping = asyncio.create_task(vm.drain())
    connected: list[socket.socket] = []

    def connect_while_the_loop_stands() -> None:
        # The listener is readable and the time of its close has come in the
        # same turn of the loop.
        time.sleep(0.2)
        address = vm.server.sockets[0].getsockname()
        connected.append(socket.create_connection(address))
        connected[0].sendall(_GET)

    asyncio.get_running_loop().call_later(0.93, connect_while_the_loop_stands)
    assert await stopping
    assert vm.open_requests == 0
    connected[0].setblocking(False)
    assert connected[0].recv(100).startswith(b'HTTP/1.1 200')
    connected[0].close()
    idle_writer.close()


async def test_idle_connections_do_not_delay_the_stop(vm: _Vm) -> None:
    """A connection whose caller waits for nothing is closed at the stop."""
    reader, writer = await vm.connect()
    writer.write(_GET)
    await reader.readuntil(b'{}')
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert await vm.drain()
    assert loop.time() - started < 1.6
    writer.close()
