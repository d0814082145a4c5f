"""Requests, responses and bounds of the HTTP server."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

__all__ = [
    'EncodedResponse',
    'ErrorResponse',
    'Handler',
    'HeadFilter',
    'HttpLimits',
    'HttpRequest',
    'HttpResponse',
    'RequestHead',
]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds of a server.

    Parameters
    ----------
    head_bytes : int
        Largest request line and header block.
    body_bytes : int
        Largest body.
    head_seconds : float
        Longest time from the first byte of a request to the end of its head.
    body_seconds : float
        Longest time from there to the end of the body.
    write_seconds : float
        Longest time for which a peer may leave a response unread.
    keep_alive_seconds : float
        Longest time between two requests of a connection.
    cancels_half_closed : bool
        Whether a peer that closes its sending side has left. Otherwise its
        answer is still written.
    connections : int
        Most open connections; requests on further ones are refused after
        their head, and beyond twice the number connections are closed.
    """

    head_bytes: int = 16384
    body_bytes: int = 262144
    head_seconds: float = 5
    body_seconds: float = 10
    write_seconds: float = 10
    keep_alive_seconds: float = 60
    connections: int = 1000
    cancels_half_closed: bool = False


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request whose body has not been read.

    Parameters
    ----------
    method : bytes
        Method.
    target : bytes
        Path and query as received.
    headers : Mapping
        Values by lower-case name.
    over_limit : bool
        Whether the server has more open connections than its limit.
    """

    method: bytes
    target: bytes
    headers: Mapping[bytes, bytes]
    over_limit: bool


@dataclass(frozen=True, slots=True)
class EncodedResponse:
    """A whole response as bytes.

    Parameters
    ----------
    content : bytes
        Status line, headers and body.
    close : bool
        Whether `content` announces that the connection closes.
    """

    content: bytes
    close: bool


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that was read completely.

    Parameters
    ----------
    method : str
        Method.
    path : str
        Path without the query.
    query : Mapping
        Last value of each parameter, by name.
    headers : Mapping
        Last value of each header, by lower-case name.
    body : bytes
        Whole body.
    target : bytes
        Path and query as received.
    header_items : tuple of pairs
        All headers in order, with lower-case names.
    is_first_on_connection : bool
        Whether it is the first request of its connection.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    target: bytes = b''
    header_items: tuple[tuple[bytes, bytes], ...] = ()
    is_first_on_connection: bool = False


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response to send.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        JSON document unless `content_type` names another type.
    headers : tuple of pairs
        Additional headers.
    content_type : str
        Type of the body; empty when `headers` names it.
    """

    status: int
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = 'application/json'


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
"""Answers a request; cancelled when the connection is lost."""

HeadFilter = Callable[[RequestHead], EncodedResponse | None]
"""Refuses a request by its head, or returns None to let it pass."""

ErrorResponse = Callable[[int, Mapping[bytes, bytes]], HttpResponse]
"""Builds the response to a request that cannot be read, from a status code
and the headers (empty when the head was not complete)."""
