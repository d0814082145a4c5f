"""A crowd of callers that holds what it sends, and what a gateway takes for it.

Crowd and bounds were fixed before the product had an account of memory.
"""

import asyncio
import os
import socket
from collections.abc import (
    AsyncIterator,
    Callable,
    Collection,
    Iterable,
    Iterator,
)
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from itertools import chain, repeat
from pathlib import Path
from typing import Final

from tests.platform.deployment import HOST, GatewayProcess

__all__ = [
    'BODY_BYTES',
    'Caller',
    'Usage',
    'body_in_pieces',
    'large_chunks',
    'many_headers',
    'nothing',
    'open_crowd',
    'peak_bytes',
    'peers_port',
    'pipelined',
    'query',
    'tiny_chunks',
    'usage_of',
    'whole_body',
]

BODY_BYTES: Final = 262_144
"""Longest legal body."""
_PIECE: Final = 16 * 1024
_CHUNK: Final = 64 * 1024
_TINY_CHUNK_BYTES: Final = 6
_HEADERS: Final = 900
_REQUESTS: Final = 1000
_SEND_SECONDS: Final = 8.0
"""Time that the crowd has to send; a caller that is not read keeps its rest."""
_SAMPLE_SECONDS: Final = 0.05
_QUEUES_COLUMN: Final = 4
_HEX: Final = 16

Caller = Callable[[str], Iterable[bytes]]
"""Returns what a caller writes to a path, piece by piece."""


@dataclass
class Usage:
    """Most that a gateway process has taken.

    Parameters
    ----------
    in_kernel : int
        Most bytes that the kernel held, received and not read or written and
        not taken by the caller.
    descriptors : int
        Most open descriptors.
    """

    in_kernel: int = 0
    descriptors: int = 0


def whole_body(path: str) -> Iterator[bytes]:
    """Send a body at once, without its last byte."""
    yield _head(path, f'Content-Length: {BODY_BYTES}') + b'x' * (BODY_BYTES - 1)


def body_in_pieces(path: str) -> Iterator[bytes]:
    """Send a body piece by piece, without its last byte."""
    yield _head(path, f'Content-Length: {BODY_BYTES}')
    yield from repeat(b'x' * _PIECE, BODY_BYTES // _PIECE - 1)
    yield b'x' * (_PIECE - 1)


def large_chunks(path: str) -> Iterator[bytes]:
    """Send a body in large chunks, without its last byte and its end."""
    yield _head(path, 'Transfer-Encoding: chunked')
    chunk = b'%x\r\n%b\r\n' % (_CHUNK, b'x' * _CHUNK)
    yield from repeat(chunk, BODY_BYTES // _CHUNK - 1)
    yield chunk[:-3]


def tiny_chunks(path: str) -> Iterator[bytes]:
    """Send a body in chunks of one byte, without its end."""
    yield _head(path, 'Transfer-Encoding: chunked')
    yield b'1\r\nx\r\n' * (BODY_BYTES // _TINY_CHUNK_BYTES)


def many_headers(path: str) -> Iterator[bytes]:
    """Send a head of many short headers, and a body without its last byte."""
    lines = ''.join(f'{number}:b\r\n' for number in range(_HEADERS))
    head = _head(path, f'Content-Length: {_CHUNK}')[:-2] + lines.encode()
    yield head + b'\r\n' + b'x' * (_CHUNK - 1)


def pipelined(path: str) -> Iterator[bytes]:
    """Send requests one behind the other; no answer is read."""
    yield _head(path, 'Content-Length: 0') * _REQUESTS


def nothing(path: str) -> Iterator[bytes]:
    """Send nothing."""
    yield b''


def query(path: str) -> Iterator[bytes]:
    """Send a whole request; its answer is not read."""
    yield _head(path, 'Content-Length: 0')


@asynccontextmanager
async def usage_of(
    gateway: GatewayProcess, target_ports: Collection[int] = ()
) -> AsyncIterator[Usage]:
    """Watch the descriptors of a gateway process and its bytes in the kernel.

    They are those of its callers, its neighbours and some targets.
    """
    usage = Usage()
    ports = frozenset((gateway.port, peers_port(gateway)))
    task = asyncio.create_task(
        _watch(usage, gateway.process.pid, ports, frozenset(target_ports))
    )
    yield usage
    task.cancel()


def peers_port(gateway: GatewayProcess) -> int:
    """Return the port of a gateway for its neighbours."""
    lines = gateway.settings_file.read_text().splitlines()
    named = (line for line in lines if 'PEERS_ADDRESS' in line)
    return int(next(named).rsplit(':', 1)[1])


def peak_bytes(gateway: GatewayProcess) -> int:
    """Return the peak memory of a gateway process; 0 if it has ended."""
    with suppress(OSError):
        lines = Path(f'/proc/{gateway.process.pid}/status').read_text()
        peak = (one for one in lines.splitlines() if one.startswith('VmHWM'))
        return sum(int(one.split()[1]) * 1024 for one in peak)
    return 0


async def open_crowd(
    port: int, path: str, caller: Caller, size: int, at_once: int
) -> list[socket.socket]:
    """Let a crowd send, and return its connections, which stay open."""
    loop = asyncio.get_running_loop()
    free = asyncio.Semaphore(at_once)
    crowd = [_small_socket() for _ in range(size)]

    async def send(one: socket.socket) -> None:
        async with free:
            with suppress(OSError):
                await loop.sock_connect(one, ('127.0.0.1', port))
                for piece in caller(path):
                    await loop.sock_sendall(one, piece)
                if caller is query:
                    await loop.sock_recv(one, 1)

    tasks = [asyncio.create_task(send(one)) for one in crowd]
    _, late = await asyncio.wait(tasks, timeout=_SEND_SECONDS)
    for task in late:
        task.cancel()
    await asyncio.gather(*late, return_exceptions=True)
    return crowd


def _small_socket() -> socket.socket:
    one = socket.socket()
    one.setblocking(False)
    one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    return one


def _head(path: str, length: str) -> bytes:
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        'X-Nutmegstep-Attempt-Id: crowd',
        'X-Nutmegstep-Deadline-Ms: 30000',
        length,
    )
    return '\r\n'.join(chain(lines, ('', ''))).encode()


async def _watch(
    usage: Usage,
    pid: int,
    ports: frozenset[int],
    remote_ports: frozenset[int],
) -> None:
    while True:
        with suppress(OSError):
            count = len(os.listdir(f'/proc/{pid}/fd'))
            usage.descriptors = max(usage.descriptors, count)
        in_kernel = _bytes_in_kernel(ports, remote_ports)
        usage.in_kernel = max(usage.in_kernel, in_kernel)
        await asyncio.sleep(_SAMPLE_SECONDS)


def _bytes_in_kernel(
    ports: frozenset[int], remote_ports: frozenset[int]
) -> int:
    rows = Path('/proc/net/tcp').read_text().splitlines()[1:]
    fields = (row.split() for row in rows)
    return sum(
        sum(int(queue, _HEX) for queue in one[_QUEUES_COLUMN].split(':'))
        for one in fields
        if (_port(one[1]) in ports or _port(one[2]) in remote_ports)
        # The queue of a listening socket counts connections.
        and one[3] != '0A'
    )


def _port(address: str) -> int:
    return int(address.partition(':')[2], _HEX)
