"""Tests of the HTTP interface for callers, without sockets."""

from datetime import timedelta
from unittest.mock import AsyncMock, Mock

import orjson
import pytest
from returns.result import Failure, Success

from nutmegstep.callers import (
    CallerHeadFilter,
    CallerInterface,
    RequestParser,
    error_response,
)
from nutmegstep.model import Answer, IdempotentQuery, OneShotRequest
from nutmegstep.runtime import RequestEnd
from nutmegstep.verdict import Reason, Verdict, refuse
from nutmegstep.web import HttpRequest, RequestHead

_KEY = '01890a5d-ac96-774b-bcce-b302099a8057'
_TRACE = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
_QUERY = '/v1/services/stock/query'
_RECORD = '/v1/services/stock/records/a%2Fb'
_ANSWER = Answer('stock', 41, ('s',), (), {'s': b'{"n":1}'})


class _Fixture:
    """A caller interface whose executor and observer are mocks."""

    def __init__(self) -> None:
        self.execute = AsyncMock(return_value=Success(_ANSWER))
        self.observer = Mock()
        self.observer.begin.return_value.traceparent = 'passed-on'
        parser = RequestParser(lambda: 100, lambda name: timedelta(seconds=2))
        self.interface = CallerInterface(self.execute, parser, self.observer)

    async def send(self, method, path, body=b'{}', **headers):
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        request = HttpRequest(method, path, {}, named, body)
        response = await self.interface.handle(request)
        return response, orjson.loads(response.body)


@pytest.mark.parametrize(
    ('timeout', 'deadline'),
    [
        ({}, 102),
        ({'x_timeout_ms': '500'}, 100.5),
        ({'x_timeout_ms': '9000'}, 102),
    ],
)
async def test_deadline_is_limited_by_service_timeout(
    timeout, deadline
) -> None:
    """Guards against requests that run longer than their service declares.

    ``X-Timeout-Ms`` may shorten the declared timeout, but not extend it.
    """
    fixture = _Fixture()
    await fixture.send('POST', _QUERY, x_request_id='r-1', **timeout)
    fixture.execute.assert_awaited_once_with(
        IdempotentQuery('r-1', 'stock', b'{}', deadline, None, 'passed-on'),
    )


async def test_method_tells_look_up_from_one_shot_request() -> None:
    """Guards against treating a one-shot request as a query.

    Both use the same path. A query may be sent again after a failure, which
    would run a one-shot request twice.
    """
    fixture = _Fixture()
    await fixture.send('GET', _RECORD)
    await fixture.send('POST', _RECORD, idempotency_key=_KEY)
    look_up, one_shot = (
        call.args[0] for call in fixture.execute.await_args_list
    )
    assert isinstance(look_up, IdempotentQuery)
    assert look_up.record_key == 'a/b'
    assert isinstance(one_shot, OneShotRequest)
    assert (one_shot.record_key, str(one_shot.idempotency_key)) == ('a/b', _KEY)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'headers', 'reason'),
    [
        ('POST', '/v1/other', b'{}', {}, 'bad_request'),
        ('PUT', _QUERY, b'{}', {}, 'bad_request'),
        ('POST', _QUERY, b'{', {}, 'bad_request'),
        ('POST', _QUERY, b'', {}, 'bad_request'),
        ('POST', _QUERY, b'{}', {'x_timeout_ms': '0'}, 'bad_request'),
        ('POST', _QUERY, b'{}', {'x_request_id': 'a b'}, 'bad_request'),
        ('POST', _RECORD, b'{}', {}, 'key_invalid'),
        (
            'POST',
            _RECORD,
            b'{}',
            {'idempotency_key': f'{{{_KEY}}}'},
            'key_invalid',
        ),
        (
            'POST',
            _RECORD,
            b'{}',
            {'idempotency_key': _KEY.replace('-7', '-4')},
            'key_invalid',
        ),
        ('GET', '/v1/services/stock/records/', b'', {}, 'bad_request'),
    ],
)
async def test_malformed_request_did_not_run(
    method,
    path,
    body,
    headers,
    reason,
) -> None:
    """Guards against executing malformed requests."""
    fixture = _Fixture()
    response, document = await fixture.send(method, path, body, **headers)
    assert response.status == 400
    assert document['reason'] == reason
    assert document['verdict'] == document['attempt_verdict'] == 'not_run'
    assert ('Retry-After', '1') in response.headers
    assert ('X-Verdict', 'not_run') in response.headers
    assert ('X-Request-Id', document['request_id']) in response.headers
    fixture.execute.assert_not_awaited()


async def test_responses_carry_the_request_identifier() -> None:
    """Guards against responses that callers cannot match to requests (G5).

    Answers and refusals must both contain the identifier of the caller.
    """
    fixture = _Fixture()
    response, document = await fixture.send('POST', _QUERY, x_request_id='r-1')
    assert document['request_id'] == 'r-1'
    assert document['results'] == {'s': {'n': 1}}
    fixture.execute.return_value = Failure(
        refuse(Verdict.RAN, Reason.ALREADY_CLAIMED, 'ran before'),
    )
    response, document = await fixture.send('POST', _QUERY, x_request_id='r-2')
    assert (response.status, document['request_id']) == (409, 'r-2')
    assert document['verdict'] == 'ran'
    ended = fixture.observer.begin.return_value.end
    expected = RequestEnd(409, 'already_claimed', 'ran')
    ended.assert_called_with(expected)


@pytest.mark.parametrize('sent', [_TRACE, _TRACE.replace('00-', 'zz-')])
async def test_malformed_trace_context_is_dropped(sent) -> None:
    """Guards against passing a malformed ``traceparent`` on to targets."""
    fixture = _Fixture()
    await fixture.send('GET', _RECORD, x_request_id='r', traceparent=sent)
    expected = sent if sent == _TRACE else ''
    fixture.observer.begin.assert_called_once_with('stock', 'r', expected)


def _head(target: bytes, over_limit=False, **headers) -> RequestHead:
    named = {
        name.replace('_', '-').encode(): text for name, text in headers.items()
    }
    return RequestHead(b'GET', target, named, over_limit)


def test_overload_is_refused_by_the_head() -> None:
    """Guards against a false `not run` for a repeated idempotency key (G6).

    An overloaded service is refused before the body is read. An earlier
    attempt with the same key may have run, although this one has not.
    """
    counted = Mock()
    head_filter = CallerHeadFilter(
        lambda: True,
        lambda name: Reason.OVERLOADED if name == 'stock' else None,
        counted,
    )
    assert head_filter.check(_head(b'/v1/services/desk/query')) is None
    refused = head_filter.check(_head(_RECORD.encode(), x_request_id=b'r-1'))
    assert refused is not None
    head, _, body = refused.content.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 429 Too Many Requests\r\n')
    assert b'Content-Length: %d' % len(body) in head
    assert orjson.loads(body)['request_id'] == 'r-1'
    assert orjson.loads(body)['verdict'] == 'not_run'
    counted.assert_called_once_with('overloaded')
    repeat = _head(_RECORD.encode(), idempotency_key=_KEY.encode())
    refused = head_filter.check(repeat)
    assert refused is not None
    assert b'"verdict":"may_have_run"' in refused.content
    assert b'"attempt_verdict":"not_run"' in refused.content


def test_draining_filter() -> None:
    """Guards against new connections from the load balancer to a stopping VM.

    While draining, only ``/ready`` fails. Requests are refused as soon as
    `refusing` is set.
    """
    head_filter = CallerHeadFilter(lambda: True, lambda name: None, Mock())
    ready = head_filter.check(_head(b'/ready'))
    assert ready is not None
    assert ready.content.startswith(b'HTTP/1.1 200')
    head_filter.draining = True
    ready = head_filter.check(_head(b'/ready'))
    assert ready is not None
    assert ready.content.startswith(b'HTTP/1.1 503')
    assert ready.close
    assert head_filter.check(_head(b'/v1/services/stock/query')) is None
    head_filter.refusing = True
    refused = head_filter.check(_head(b'/v1/services/stock/query'))
    assert refused is not None
    assert b'"reason":"draining"' in refused.content


@pytest.mark.parametrize(
    ('status', 'headers', 'expected'),
    [
        (400, {}, (400, 'not_run')),
        (413, {b'x-request-id': b'r'}, (413, 'not_run')),
        (408, {b'x-request-id': b'r'}, (400, 'not_run')),
        (408, {b'idempotency-key': b'k'}, (400, 'may_have_run')),
        (408, {}, (400, 'may_have_run')),
        (500, {b'x-request-id': b'r'}, (502, 'may_have_run')),
    ],
)
def test_error_response_has_verdict(status, headers, expected) -> None:
    """Guards against an error response with a missing or a false verdict.

    The HTTP server rejects the request, or its handler fails, before the
    runtime can give a verdict.
    """
    response = error_response(status, headers)
    document = orjson.loads(response.body)
    assert (response.status, document['verdict']) == expected
    assert (
        document['request_id']
        == headers.get(
            b'x-request-id',
            document['request_id'].encode(),
        ).decode()
    )
