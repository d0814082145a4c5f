"""Bytes of targets that wait in the kernel until the VM reads them."""

import asyncio
import socket
import threading
import time

from nutmegstep.clock import SystemClock
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.gateway.exchange import SendOutcome
from nutmegstep.gateway.pool import ConnectionPool
from nutmegstep.platform.wire import CODEC
from tests.gateway.sends import send_to

_BLOCK = b'x' * 65536
_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n'
_SECONDS = 3.0
_TARGETS = 30
_READ_BYTES = 8 * 1024 * 1024
_MAX_WAITING_BYTES = 30 * 1024 * 1024
"""Most that the targets may take together of the 200 MB of a small VM."""


class _Flood(threading.Thread):
    """Target that sends while the kernels take its bytes."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.sent = 0
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = self._listener.getsockname()

    def run(self) -> None:
        """Send to the first connection until it is closed."""
        connection, _ = self._listener.accept()
        with connection, self._listener:
            connection.recv(65536)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
            connection.sendall(_HEAD)
            self._send_blocks(connection)

    def _send_blocks(self, connection: socket.socket) -> None:
        try:
            while True:
                self.sent += connection.send(_BLOCK)
        except ConnectionError:
            return  # The pool has closed the connection.


def _record(effect: SendRequest, outcome: SendOutcome) -> None:
    """Ignore the outcome."""


async def test_kernel_holds_few_bytes_of_endless_responses() -> None:
    """Guards against a VM whose memory is taken by the receive buffers of its
    connections, beside the bound on the responses that it has read.
    """
    targets = [_Flood() for _ in range(_TARGETS)]
    pool = ConnectionPool(SystemClock(), CODEC, _record)
    for number, started in enumerate(targets):
        started.start()
        pool.send(send_to(number, started.address, _SECONDS))
    async with asyncio.timeout(_SECONDS):
        while pool.memory.held < _READ_BYTES:
            await asyncio.sleep(0)
    before = sum(target.sent for target in targets)
    # A busy VM: its event loop does not turn.
    time.sleep(1)  # noqa: ASYNC251
    waiting = sum(target.sent for target in targets) - before
    pool.close()
    for closed in targets:
        await asyncio.to_thread(closed.join)
    assert waiting <= _MAX_WAITING_BYTES
