"""Parsing of the requests and encoding of the responses of a connection."""

import enum
from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs, urlsplit

import h11

from nutmegstep.web.heads import encode_text, head_size, new_parser
from nutmegstep.web.messages import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    RequestHead,
)
from nutmegstep.web.turns import ReceivedBytes

__all__ = [
    'HEADER_BYTES',
    'InvalidRequestError',
    'ReadEvent',
    'RequestReader',
]

_STATUS_BAD_REQUEST: Final = 400
_STATUS_TOO_LARGE: Final = 413
_STATUS_HEAD_TOO_LARGE: Final = 431
HEADER_BYTES: Final = 256
"""Memory of a header of a request besides its text; 210 bytes as measured."""
_CONTINUE: Final = 100
_CONTENT_LENGTH: Final = b'content-length'


class InvalidRequestError(Exception):
    """Raised when a request violates HTTP/1.1 or exceeds a size limit.

    Parameters
    ----------
    status : int
        Status code to respond with.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f'invalid HTTP request, answered with status {status}')
        self.status = status


@enum.unique
class ReadEvent(enum.Enum):
    """Result of one parsing step.

    ``NEED_DATA`` means that more bytes must be received first, ``HEAD`` that
    the head of a request is complete, ``BODY`` that a part of its body was
    read, ``COMPLETE`` that its end was reached, and ``PEER_CLOSED`` that the
    peer has ended its stream.
    """

    NEED_DATA = 'need_data'
    HEAD = 'head'
    BODY = 'body'
    COMPLETE = 'complete'
    PEER_CLOSED = 'peer_closed'


class RequestReader:
    """Parses the requests of one connection and enforces the size limits.

    Parameters
    ----------
    read_limits : Callable
        Returns the limits of the server. They may change between two requests.

    Attributes
    ----------
    headers : dict
        Last value of each header of the current request, by lower-case name;
        empty until its head is complete.
    """

    def __init__(self, read_limits: Callable[[], HttpLimits]) -> None:
        self.headers: dict[bytes, bytes] = {}
        self._read_limits = read_limits
        self._limits = read_limits()
        self._parser = new_parser(self._limits)
        self._head: h11.Request | None = None
        self._received = ReceivedBytes()
        self._body = bytearray()
        self._head_memory = 0
        self._is_first_on_connection = True

    @property
    def has_data(self) -> bool:
        """Whether bytes of the next request are buffered."""
        return bool(self._received or self._parser.trailing_data[0])

    @property
    def held_bytes(self) -> int:
        """Memory that the current request and unparsed bytes take."""
        body = len(self._body)
        # Between the parts of a body the parser keeps lines that are not complete.
        unparsed = (
            0 if self._head is None else len(self._parser.trailing_data[0])
        )
        held = self._head_memory + self._received.held_bytes + unparsed
        return held + body + body // 8

    def drop(self) -> None:
        """Forget what was received."""
        self._received = ReceivedBytes()
        self._parser = new_parser(self._limits)
        self._reset_request()

    def feed(self, data: bytes) -> None:
        """Buffer received bytes; empty bytes mark the end of the stream.

        Raises
        ------
        InvalidRequestError
            The stream violates HTTP/1.1.
        """
        limits = self._read_limits()
        if self._head is None and not self.has_data and limits != self._limits:
            # A parser keeps the limits that it was made with.
            self._limits = limits
            self._parser = new_parser(self._limits)
        if self._head is None:
            self._head_memory += len(data)
        try:
            self._received.feed(self._parser, data)
        except h11.RemoteProtocolError as error:
            raise InvalidRequestError(error.error_status_hint) from error

    def next_event(self) -> ReadEvent:
        """Parse the next part of a request from the buffered bytes.

        Raises
        ------
        InvalidRequestError
            The request violates HTTP/1.1 or exceeds a size limit.
        """
        try:
            event = self._received.next_event(self._parser)
        except h11.RemoteProtocolError as error:
            raise InvalidRequestError(error.error_status_hint) from error
        if isinstance(event, h11.Request):
            self._store_head(event)
            return ReadEvent.HEAD
        if isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.body_bytes:
                raise InvalidRequestError(_STATUS_TOO_LARGE)
            return ReadEvent.BODY
        if isinstance(event, h11.EndOfMessage):
            return ReadEvent.COMPLETE
        if isinstance(event, h11.ConnectionClosed):
            return ReadEvent.PEER_CLOSED
        return ReadEvent.NEED_DATA

    def head(self, over_limit: bool) -> RequestHead:
        """Return the head of the current request.

        Parameters
        ----------
        over_limit : bool
            Whether the server has more open connections than its limit.
        """
        assert self._head is not None
        return RequestHead(
            self._head.method,
            self._head.target,
            self.headers,
            over_limit,
        )

    def request(self) -> HttpRequest:
        """Return the current request, once it is complete.

        Raises
        ------
        InvalidRequestError
            The target of the request is not a valid URL.
        """
        assert self._head is not None
        try:
            parts = urlsplit(self._head.target.decode('ascii'))
        except ValueError as error:
            raise InvalidRequestError(_STATUS_BAD_REQUEST) from error
        body = bytes(self._body)
        self._body = bytearray()
        return HttpRequest(
            self._head.method.decode('ascii'),
            parts.path,
            {name: found[-1] for name, found in parse_qs(parts.query).items()},
            {
                name.decode('latin-1'): text.decode('latin-1')
                for name, text in self.headers.items()
            },
            body,
            self._head.target,
            tuple(self._head.headers),
            self._is_first_on_connection,
        )

    def encode_continue(self) -> bytes:
        """Return a ``100 Continue`` response if the peer waits for one."""
        if not self._parser.they_are_waiting_for_100_continue:
            return b''
        interim = h11.InformationalResponse(status_code=_CONTINUE, headers=[])
        return self._parser.send(interim) or b''

    def encode(self, response: HttpResponse, close: bool) -> bytes:
        """Return the encoded response.

        The result is empty if the state of the connection allows no response.

        Raises
        ------
        h11.LocalProtocolError
            A header of the response is not valid in HTTP.
        UnicodeEncodeError
            The text of a header has a character that is not in latin-1.
        """
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return b''
        length = str(len(response.body))
        headers = [
            (name.encode(), encode_text(text))
            for name, text in (('Content-Length', length), *response.headers)
        ]
        if response.content_type:
            content_type = response.content_type.encode()
            headers.insert(0, (b'Content-Type', content_type))
        if close:
            headers.append((b'Connection', b'close'))
        head = h11.Response(status_code=response.status, headers=headers)
        is_head = self._head is not None and self._head.method == b'HEAD'
        parts = (
            self._parser.send(head),
            self._parser.send(h11.Data(data=b'' if is_head else response.body)),
            self._parser.send(h11.EndOfMessage()),
        )
        return b''.join(part or b'' for part in parts)

    def start_next_request(self) -> bool:
        """Start the next request after a response from `encode`.

        Returns
        -------
        bool
            False if the connection cannot be reused and must be closed.
        """
        states = {self._parser.our_state, self._parser.their_state}
        if states != {h11.DONE}:
            return False
        self._parser.start_next_cycle()
        self._reset_request()
        return True

    def start_next_after_encoded(self) -> bool:
        """Start the next request after an `EncodedResponse`.

        Returns
        -------
        bool
            False if the connection cannot be reused and must be closed.

        Notes
        -----
        An `EncodedResponse` bypasses the parser, which therefore cannot move
        on to the next request. A new parser takes over the bytes that the
        old one has not consumed.
        """
        unused, ended = self._parser.trailing_data
        if ended or self._parser.their_state is not h11.DONE:
            return False
        self._parser = new_parser(self._limits)
        if unused:
            self._parser.receive_data(unused)
        self._reset_request()
        return True

    def _reset_request(self) -> None:
        self._is_first_on_connection = False
        self.headers = {}
        self._head = None
        self._head_memory = 0
        self._body = bytearray()

    def _store_head(self, head: h11.Request) -> None:
        self._head = head
        self.headers = dict(head.headers)
        # h11 checks the size only of heads that arrive in several reads.
        size = head_size(head)
        self._head_memory = size * 2 + len(head.headers) * HEADER_BYTES
        if size > self._limits.head_bytes:
            raise InvalidRequestError(_STATUS_HEAD_TOO_LARGE)
        declared_length = int(self.headers.get(_CONTENT_LENGTH, b'0'))
        if declared_length > self._limits.body_bytes:
            raise InvalidRequestError(_STATUS_TOO_LARGE)
