"""Requests, responses, limits and callback types of the HTTP server."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, replace
from typing import Final

__all__ = [
    'EncodedResponse',
    'ErrorResponseBuilder',
    'Handler',
    'HeadFilter',
    'HttpLimits',
    'HttpRequest',
    'HttpResponse',
    'RequestHead',
    'with_retry_after',
]

_RETRY_AFTER: Final = 'retry-after'


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a server on sizes, times and connections.

    Parameters
    ----------
    head_bytes : int
        Maximum size of the request line and the headers together, in bytes.
    body_bytes : int
        Maximum size of the body in bytes.
    head_seconds : float
        Maximum time from the first byte of a request to the end of its head.
        It also applies to the wait for the first request of a connection.
    body_seconds : float
        Maximum time from the end of the head to the end of the body.
    write_seconds : float
        Maximum time for which a peer may leave a response unread.
    keep_alive_seconds : float
        Maximum idle time between two requests of a connection.
    cancels_half_closed : bool
        Whether a peer that shuts down its sending side is treated as
        disconnected, which cancels its request. Otherwise the response is
        still written.
    connections : int
        Maximum number of open connections. Requests on further connections
        are refused once their head is read, unless an idle one can be closed
        for them.
    sockets : int
        Number of open connections above which new ones are aborted; twice
        `connections` if 0.
    receive_buffer, send_buffer : int
        Bytes that the kernel keeps of a connection for the process and for the
        peer; 0 leaves the choice to the kernel.
    retry_after_seconds : float
        Value of ``Retry-After`` of a refusal for want of room.
    """

    head_bytes: int = 16384
    body_bytes: int = 262144
    head_seconds: float = 5
    body_seconds: float = 10
    write_seconds: float = 10
    keep_alive_seconds: float = 60
    connections: int = 1000
    cancels_half_closed: bool = False
    sockets: int = 0
    receive_buffer: int = 0
    send_buffer: int = 0
    retry_after_seconds: float = 1


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request whose body has not been read.

    Parameters
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Path and query as received.
    headers : Mapping
        Last value of each header, by lower-case name.
    over_limit : bool
        Whether the server has more open connections than its limit.
    """

    method: bytes
    target: bytes
    headers: Mapping[bytes, bytes]
    over_limit: bool


@dataclass(frozen=True, slots=True)
class EncodedResponse:
    """A complete response, encoded in advance.

    Parameters
    ----------
    content : bytes
        Status line, headers and body.
    close : bool
        Whether `content` has the header ``Connection: close``, so that the
        connection is closed afterwards.
    """

    content: bytes
    close: bool


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path without the query.
    query : Mapping
        Last value of each query parameter, by name.
    headers : Mapping
        Last value of each header, by lower-case name.
    body : bytes
        Body; empty if there is none.
    target : bytes
        Path and query as received.
    header_items : tuple of pairs
        All headers in order of arrival, with lower-case names.
    is_first_on_connection : bool
        Whether no other request was sent on the connection before.
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
        Body, a JSON document unless `content_type` says otherwise.
    headers : tuple of pairs
        Further headers. The server adds ``Content-Length`` and, if needed,
        ``Connection: close``. A value that was received stays bytes: HTTP
        allows bytes in it that are no ASCII text (obs-text).
    content_type : str
        Value of ``Content-Type``; empty if `headers` contains that header.
    """

    status: int
    body: bytes = b''
    headers: tuple[tuple[str, str | bytes], ...] = ()
    content_type: str = 'application/json'


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
"""Handles a request; cancelled when the connection is lost."""

HeadFilter = Callable[[RequestHead], EncodedResponse | None]
"""Returns a response that needs no body of the request, such as a refusal, or
None to pass the request to the handler."""

ErrorResponseBuilder = Callable[[int, Mapping[bytes, bytes]], HttpResponse]
"""Builds the response to a request that is invalid, incomplete in time or over
a limit, or whose handler failed. Its arguments are the status code and the
headers of the request, which are empty if the head is not complete."""


def with_retry_after(response: HttpResponse, seconds: float) -> HttpResponse:
    """Return a response that says when to come back, unless it does already."""
    if any(name.lower() == _RETRY_AFTER for name, _ in response.headers):
        return response
    header = (_RETRY_AFTER, f'{seconds:.3f}')
    return replace(response, headers=(*response.headers, header))
