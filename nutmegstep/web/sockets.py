"""Options of TCP sockets that every connection of the project sets."""

import socket
from asyncio.trsock import TransportSocket

__all__ = ['set_user_timeout']


def set_user_timeout(
    connection: socket.socket | TransportSocket,
    milliseconds: int,
) -> None:
    """End a connection whose sent bytes stay unacknowledged.

    Without it a partition leaves the connection open for minutes.

    Parameters
    ----------
    connection : socket.socket or asyncio.trsock.TransportSocket
        A connected socket.
    milliseconds : int
        Longest time for which sent bytes may stay unacknowledged.
    """
    connection.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        milliseconds,
    )
