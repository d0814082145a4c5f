"""Listening sockets of the HTTP server."""

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from typing import Final

from nutmegstep.web.messages import HttpLimits
from nutmegstep.web.sockets import limit_buffers

__all__ = ['accept_backlog', 'bind', 'serve_on']

_BACKLOG: Final = 1024
_ACCEPTED_AT_ONCE: Final = 16
"""Connections that are accepted in a turn of the event loop. Those of the last
turns have descriptors before the server can count them."""


def bind(host: str, port: int, limits: HttpLimits) -> socket.socket:
    """Return a listening socket whose connections have limited buffers."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    bound = socket.create_server((host, port), family=family, backlog=_BACKLOG)
    limit_buffers(bound, limits.receive_buffer, limits.send_buffer)
    return bound


async def serve_on(
    bound: socket.socket, build_protocol: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    """Start accepting connections on a socket."""
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        build_protocol, sock=bound, backlog=_ACCEPTED_AT_ONCE
    )
    # asyncio takes one number for the backlog and for the connections that it
    # accepts in a turn.
    bound.listen(_BACKLOG)
    return listener


def accept_backlog(listening: socket.socket) -> tuple[socket.socket, ...]:
    """Accept the connections that the kernel has established.

    Closing a listening socket resets those that are not accepted.
    """
    return tuple(iter(partial(_accept, listening), None))


def _accept(listening: socket.socket) -> socket.socket | None:
    try:
        accepted, _ = listening.accept()
    except OSError:
        return None
    accepted.setblocking(False)
    return accepted
