"""Translation of the HTTP headers of callers and targets."""

from dataclasses import replace
from datetime import timedelta

import pytest

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import (
    DeliverMerged,
    DeliverRefusal,
    SendRequest,
)
from nutmegstep.dispatch.events import RoutedRequest
from nutmegstep.gateway.codec import RawReply
from nutmegstep.platform.wire import CODEC
from nutmegstep.verdict import Reason, Verdict, refuse
from nutmegstep.web import HttpRequest

_ITEMS = (
    (b'host', b'shop.example'),
    (b'x-nutmegstep-attempt-id', b'abc'),
    (b'x-nutmegstep-deadline-ms', b'750'),
    (b'x-nutmegstep-expect-instance', b'forged'),
    (b'connection', b'keep-alive, X-Private'),
    (b'x-private', b'1'),
    (b'x-kept', b'2'),
    (b'transfer-encoding', b'chunked'),
)
_HTTP = HttpRequest(
    'POST',
    '/a/b',
    {},
    {name.decode(): text.decode() for name, text in _ITEMS},
    b'body',
    b'/a/b?c',
    _ITEMS,
)
_TARGET = TargetRecord(
    'i-1',
    'shard',
    '10.0.0.1',
    80,
    'north',
    3,
    is_draining=False,
    cold_until=0,
    started_ms=1,
)


def _request() -> RoutedRequest:
    return CODEC.read_request(_HTTP, 7, 50)


def _send() -> SendRequest:
    return SendRequest(1, _request(), _TARGET, 51, 4, is_repeatable=True)


def test_headers_of_one_hop_are_removed_from_a_request() -> None:
    """Guards against hop-by-hop headers, and the deadline and target that the
    caller stated, among the headers that are sent on.
    """
    request = _request()
    assert request.attempt_id == 'abc'
    assert request.time_left == pytest.approx(0.75)
    assert request.headers == (
        (b'host', b'shop.example'),
        (b'x-nutmegstep-attempt-id', b'abc'),
        (b'x-kept', b'2'),
    )


def test_path_is_taken_as_it_was_sent() -> None:
    """Guards against a path with two leading slashes whose first segment is
    taken for a host, and so another route.
    """
    http = replace(_HTTP, target=b'//a/b?c', path='/b')
    assert CODEC.read_request(http, 7, 50).path == '//a/b'


def test_send_names_the_target_and_the_time_left() -> None:
    """Guards against sending on the target and the deadline that the caller
    stated instead of the selected target and the time that is left.
    """
    headers = dict(CODEC.request_headers(_send().request, 250, 'i-1'))
    assert headers[b'x-nutmegstep-expect-instance'] == b'i-1'
    assert headers[b'x-nutmegstep-deadline-ms'] == b'250'
    assert headers[b'content-length'] == b'4'


def test_empty_target_name_is_not_sent() -> None:
    """Guards against an empty target name in the header. No target has that
    name, so each would answer 421.
    """
    headers = dict(CODEC.request_headers(_send().request, 250, ''))
    assert b'x-nutmegstep-expect-instance' not in headers


@pytest.mark.parametrize('text', ['', '-5', '1e3', 'soon'])
def test_invalid_deadline_is_ignored(text: str) -> None:
    """Guards against a crash on a header that any caller can send."""
    headers = {**_HTTP.headers, 'x-nutmegstep-deadline-ms': text}
    request = CODEC.read_request(replace(_HTTP, headers=headers), 7, 50)
    assert request.time_left is None


def test_reply_to_another_attempt_is_rejected() -> None:
    """Guards against a response to another request that is delivered to the
    wrong caller.
    """
    raw = RawReply(200, ((b'x-nutmegstep-attempt-id', b'other'),), b'')
    assert CODEC.read_reply(_send(), raw) is None


@pytest.mark.parametrize('status', [200, 204])
def test_success_without_the_attempt_is_rejected(status: int) -> None:
    """A late second copy of an answer, on a connection that is in use again,
    must not become the answer to the next caller's request.
    """
    headers = ((b'x-nutmegstep-server-stamp', b'signed'),)
    assert CODEC.read_reply(_send(), RawReply(status, headers, b'')) is None


def test_failure_without_the_attempt_is_read() -> None:
    """A rejection counts whatever its headers, so that another target is asked
    at once.
    """
    found = CODEC.read_reply(_send(), RawReply(503, (), b''))
    assert found is not None
    assert found.status == 503


def test_encoded_reply_is_rejected() -> None:
    """Guards against a compressed body that the caller did not request and
    cannot decode.
    """
    raw = RawReply(200, ((b'content-encoding', b'gzip'),), b'')
    assert CODEC.read_reply(_send(), raw) is None


@pytest.mark.parametrize(
    ('status', 'headers', 'was_executed'),
    [
        (503, ((b'x-nutmegstep-not-executed', b'1'),), False),
        (421, (), False),
        (503, (), True),
        (429, (), True),
        (500, (), True),
    ],
)
def test_status_alone_does_not_prove_that_nothing_ran(
    status: int,
    headers: tuple[tuple[bytes, bytes], ...],
    was_executed: bool,
) -> None:
    """Guards against a second run of a request after an error status without
    the header that states that it did not run. Only 421 needs no header.
    """
    reply = CODEC.read_reply(_send(), RawReply(status, headers, b''))
    assert reply is not None
    assert reply.was_executed is was_executed


@pytest.mark.parametrize(
    ('verdict', 'reason', 'status'),
    [
        (Verdict.NOT_RUN, Reason.NO_TARGET, 503),
        (Verdict.NOT_RUN, Reason.DEADLINE_EXCEEDED, 503),
        (Verdict.NOT_RUN, Reason.OVERLOADED, 429),
        (Verdict.NOT_RUN, Reason.UNKNOWN_ROUTE, 404),
        (Verdict.MAY_HAVE_RUN, Reason.DEADLINE_EXCEEDED, 504),
        (Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED, 502),
        (Verdict.MAY_HAVE_RUN, Reason.OVERLOADED, 502),
    ],
)
def test_status_does_not_deny_a_possible_run(
    verdict: Verdict,
    reason: Reason,
    status: int,
) -> None:
    """Guards against 429 or 503, which state that nothing ran, for a request
    that may have run.
    """
    refusal = refuse(
        verdict,
        reason,
        'detail',
        retry_after=timedelta(milliseconds=40),
    )
    response = CODEC.write_response(_request(), DeliverRefusal(7, refusal))
    assert response.status == status
    assert ('Retry-After', '0.040') in response.headers


@pytest.mark.parametrize(
    ('text', 'limit'),
    [
        (b'15.3', 15.3),
        (b'0', 0),
        (b'', None),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'1e9', None),
        (b'9' * 400, None),
    ],
)
def test_request_limit_of_a_target_is_read(
    text: bytes, limit: float | None
) -> None:
    """A text that is no plain decimal number states no limit."""
    raw = RawReply(503, ((b'server-limit', text),), b'')
    reply = CODEC.read_reply(_send(), raw)
    assert reply is not None
    assert reply.request_limit == limit


@pytest.mark.parametrize(
    ('texts', 'seconds', 'invalid'),
    [
        ((), None, ''),
        ((b'2',), 2, ''),
        ((b'0.25',), 0.25, ''),
        ((b'-1',), None, '-1'),
        ((b'nan',), None, 'nan'),
        ((b'1e9',), None, '1e9'),
        ((b'Wed, 21 Oct 2026 07:28:00 GMT',), None, 'Wed, 21 Oct 2026'),
        ((b'1', b'3'), 3, '1, 3'),
        ((b'x', b'y'), None, 'x, y'),
        ((b'9' * 400,), None, '9' * 40),
    ],
)
def test_retry_after_of_a_target_is_read(
    texts: tuple[bytes, ...], seconds: float | None, invalid: str
) -> None:
    """Guards against a target that is out of use because of an odd text."""
    headers = tuple((b'retry-after', text) for text in texts)
    read = CODEC.read_reply(_send(), RawReply(503, headers, b''))
    assert read is not None
    assert read.retry_after == seconds
    assert read.invalid_retry_after.startswith(invalid)
    other = CODEC.read_reply(_send(), RawReply(500, headers, b''))
    assert other is not None
    assert other.retry_after is None


@pytest.mark.parametrize('text', [b'1', b'0', b'', b'yes'])
def test_leaving_target_is_recognised(text: bytes) -> None:
    """Only the value 1 says that a target leaves."""
    raw = RawReply(503, ((b'server-leaving', text),), b'')
    read = CODEC.read_reply(_send(), raw)
    assert read is not None
    assert read.is_leaving == (text == b'1')


def test_merged_answer_lists_its_parts() -> None:
    """Guards against a merged response that does not state which shards it
    covers and how many are missing.
    """
    merged = DeliverMerged(7, ('s1', 's2'), 1, b'r' * 16)
    response = CODEC.write_response(_request(), merged)
    headers = dict(response.headers)
    assert headers['X-Nutmegstep-Part-Stamps'] == 's1, s2'
    assert headers['X-Nutmegstep-Missing-Parts'] == '1'
    assert response.body == b'r' * 16
