"""TCP socket options."""

import socket
from asyncio.trsock import TransportSocket

__all__ = [
    'limit_buffers',
    'limit_receive_buffer',
    'set_user_timeout',
]


def set_user_timeout(
    connection: socket.socket | TransportSocket,
    milliseconds: int,
) -> None:
    """Set ``TCP_USER_TIMEOUT`` on a connection.

    The kernel closes the connection when sent bytes stay unacknowledged for
    longer. Without the option, a connection that a network partition has cut
    stays open for minutes.

    Parameters
    ----------
    connection : socket.socket or asyncio.trsock.TransportSocket
        A connected socket.
    milliseconds : int
        Maximum time for which sent bytes may stay unacknowledged.
    """
    connection.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        milliseconds,
    )


def limit_receive_buffer(
    connection: socket.socket | TransportSocket,
    size: int,
) -> None:
    """Set ``SO_RCVBUF`` on a connection.

    Without it the kernel enlarges the buffer while a peer sends faster than
    the process reads. The kernel allows itself twice the given size.

    Parameters
    ----------
    connection : socket.socket or asyncio.trsock.TransportSocket
        A connected socket.
    size : int
        Size of the buffer in bytes.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def limit_buffers(
    listening: socket.socket, receive_buffer: int, send_buffer: int
) -> None:
    """Set ``SO_RCVBUF`` and ``SO_SNDBUF`` of all connections that are accepted.

    Parameters
    ----------
    listening : socket.socket
        A socket that does not listen yet; its connections inherit the sizes.
    receive_buffer, send_buffer : int
        Bytes that the kernel may take, which is twice the value of the option;
        0 leaves the choice to the kernel.
    """
    if receive_buffer:
        limit_receive_buffer(listening, receive_buffer // 2)
    if send_buffer:
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer // 2
        )
