"""Digests of the content of requests."""

from dataclasses import replace

import pytest

from nutmegstep.dispatch.content import content_digest
from nutmegstep.dispatch.effects import Decision, SendRequest
from nutmegstep.dispatch.events import (
    RoutedRequest,
    SendFailed,
    SendFailureKind,
)
from tests.dispatch.conftest import Dispatcher

_REQUEST = RoutedRequest(
    1, 'attempt-1', b'POST', b'/a?b', 'Shop.example', '/a', (), b'body', 1, 0
)


def test_attempts_of_a_request_have_the_same_digest() -> None:
    """Guards against attempts that cannot be recognised as one request."""
    later = replace(
        _REQUEST,
        request_id=2,
        attempt_id='attempt-2',
        host='shop.example',
        headers=((b'x', b'y'),),
        time_left=0.5,
        arrived_at=7,
    )
    assert content_digest(later) == content_digest(_REQUEST)


@pytest.mark.parametrize(
    'other',
    [
        replace(_REQUEST, method=b'PUT'),
        replace(_REQUEST, target=b'/a?c'),
        replace(_REQUEST, host='other.example'),
        replace(_REQUEST, body=b'bodY'),
        replace(_REQUEST, target=b'/a?bb', body=b'ody'),
    ],
)
def test_other_content_has_another_digest(other: RoutedRequest) -> None:
    """Guards against requests that are taken for one another."""
    assert content_digest(other) != content_digest(_REQUEST)


@pytest.mark.parametrize('kind', SendFailureKind)
def test_digest_is_logged_for_sends_without_a_response(
    dispatcher: Dispatcher, kind: SendFailureKind
) -> None:
    """The log shows which attempts had the same content when their targets
    closed the connection.
    """
    dispatcher.request('/fetch/x')
    send = dispatcher.effects_of(SendRequest)[-1]
    effects = dispatcher.apply(SendFailed(send.send_id, kind))
    logged = [
        one.inputs.get('content')
        for one in effects
        if isinstance(one, Decision) and one.name == 'send_failed'
    ]
    expected = None
    if kind is SendFailureKind.NO_RESPONSE:
        expected = content_digest(send.request)
    assert logged == [expected]
