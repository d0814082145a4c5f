"""Random bytes from targets: nothing raises, and no junk is an answer."""

import asyncio
from itertools import pairwise

import h11
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from nutmegstep.dispatch.events import SendFailureKind
from nutmegstep.gateway.codec import RawReply
from nutmegstep.gateway.exchange import SendOutcome
from nutmegstep.gateway.pooled_connection import PooledConnection
from nutmegstep.gateway.response_memory import ResponseMemory
from nutmegstep.web.turns import TurnQueue

_HEAD = h11.Request(method='GET', target='/a', headers=[('host', 'h')])
_BODY = b'sixteen bytes!!!'
_ANSWER = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 16\r\nkeep-alive: timeout=4\r\n\r\n'
    + _BODY
)
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'8\r\nsixteen \r\n8\r\nbytes!!!\r\n0\r\n\r\n'
)
_UNTIL_CLOSED = b'HTTP/1.1 200 OK\r\nx-signed: s\r\n\r\n' + _BODY
_FRAGMENTS = st.sampled_from(
    (
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'content-length: 3\r\n',
        b'content-length: -1\r\n',
        b'transfer-encoding: chunked\r\n',
        b'\r\n',
        b'5\r\nhello\r\n',
        b'0\r\n\r\n',
        b'\x00\xff',
        _BODY,
    )
)
_JUNK = st.lists(st.one_of(st.binary(max_size=30), _FRAGMENTS), max_size=12)
_CUTS = st.lists(st.integers(min_value=0, max_value=120), max_size=8)


class _Transport(asyncio.Transport):
    """Transport that only remembers whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.is_closed = False

    def get_extra_info(self, name: str, default: object = None) -> object:
        return default

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Discard the bytes."""

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return self.is_closed

    def is_reading(self) -> bool:
        return True


class _Exchange:
    """A connection with one request in flight and its outcomes."""

    def __init__(self) -> None:
        self.outcomes: list[SendOutcome] = []
        self.memory = ResponseMemory()
        self.transport = _Transport()
        self.connection = PooledConnection(
            lambda freed: None, lambda closed: None, self.memory, TurnQueue()
        )
        self.connection._transport = self.transport
        self.connection.send(_HEAD, b'', self.outcomes.append, lambda: None)

    def feed(self, data: bytes, cuts: list[int]) -> None:
        """Deliver bytes, split at some places, then the end of the stream."""
        places = sorted(
            {0, len(data), *(cut for cut in cuts if cut < len(data))}
        )
        for start, end in pairwise(places):
            if not self.transport.is_closed:
                self.connection.data_received(data[start:end])
        if not self.transport.is_closed:
            self.connection.eof_received()
        self.connection.connection_lost(None)


async def _exchange(data: bytes, cuts: list[int]) -> _Exchange:
    made = _Exchange()
    made.feed(data, cuts)
    return made


@seed(1)
@settings(max_examples=300, deadline=None)
@given(st.sampled_from((_ANSWER, _CHUNKED)), _CUTS)
def test_answer_is_read_however_it_is_split(
    answer: bytes, cuts: list[int]
) -> None:
    """The same answer arrives in one segment or byte by byte."""
    exchange = asyncio.run(_exchange(answer, cuts))
    first = exchange.outcomes[0]
    assert isinstance(first, RawReply)
    assert (first.status, first.body) == (200, _BODY)
    assert len(exchange.outcomes) == 1


@seed(1)
@settings(max_examples=500, deadline=None)
@given(_JUNK, _CUTS)
def test_junk_has_one_outcome_and_frees_its_memory(
    junk: list[bytes], cuts: list[int]
) -> None:
    """Nothing raises past the connection, and it ends with one outcome."""
    exchange = asyncio.run(_exchange(b''.join(junk), cuts))
    assert len(exchange.outcomes) == 1
    assert exchange.memory.held == 0


@seed(1)
@settings(max_examples=300, deadline=None)
@given(st.binary(min_size=1, max_size=40), _CUTS)
def test_connection_with_surplus_bytes_is_not_used_again(
    surplus: bytes, cuts: list[int]
) -> None:
    """Bytes after a complete answer belong to no request."""
    exchange = asyncio.run(_exchange(_ANSWER + surplus, cuts))
    assert exchange.transport.is_closed
    assert len(exchange.outcomes) == 1


@pytest.mark.parametrize('error', [None, ConnectionResetError()])
@pytest.mark.parametrize('answer', [_ANSWER, _CHUNKED, _UNTIL_CLOSED])
async def test_head_that_stops_in_the_middle_is_no_answer(
    answer: bytes, error: Exception | None
) -> None:
    """Guards against a 200 with an empty or short body, framed as whole, for an
    answer whose head the target did not finish before it closed.
    """
    head, _, _ = answer.partition(b'\r\n\r\n')
    for length in range(1, len(head) + len(b'\r\n\r')):
        exchange = _Exchange()
        exchange.connection.data_received(answer[:length])
        if error is None:
            exchange.connection.eof_received()
        exchange.connection.connection_lost(error)
        assert len(exchange.outcomes) == 1
        assert exchange.outcomes[0] in {
            SendFailureKind.INVALID,
            SendFailureKind.RESET,
        }
