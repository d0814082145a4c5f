"""Gateway processes and targets whose header values are no ASCII text."""

import asyncio
from functools import partial

import pytest

from tests.platform.deployment import Deployment, ask
from tests.platform.standin import Seen, respond

_VALUE = b'Lampu Fran\xf3ize'
_SIGNATURE = b'x-nutmegstep-server-stamp: '


def _add_value(answer: bytes) -> bytes:
    return answer.replace(b'\r\n', b'\r\nX-Shop: %b\r\n' % _VALUE, 1)


def _spoil_signature(answer: bytes) -> bytes:
    return answer.replace(_SIGNATURE, _SIGNATURE + b'\xf3')


def _changed(answer, change, seen: Seen) -> bytes:
    return change(answer(seen))


async def _start(deployment: Deployment, change) -> int:
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    answer = respond()
    for target in deployment.targets.values():
        target.script = partial(_changed, answer, change)
    return gateway.port


@pytest.mark.parametrize(
    ('path', 'method'), [('/fetch/1', 'GET'), ('/order/1', 'POST')]
)
async def test_value_of_a_header_is_passed_on_as_bytes(
    deployment: Deployment, path: str, method: str
) -> None:
    """Guards against an answer that is never written as a byte of a header is
    not ASCII, which HTTP allows.
    """
    port = await _start(deployment, _add_value)
    answer = await ask(port, path, method)
    assert answer.status == 200
    assert answer.headers['x-shop'].encode('latin-1') == _VALUE


async def test_gathered_answer_is_written(deployment: Deployment) -> None:
    """Guards against the same in an answer that is merged of several."""
    port = await _start(deployment, _add_value)
    answer = await ask(port, '/sweep/1')
    assert answer.status == 200
    assert answer.headers['x-nutmegstep-missing-parts'] == '0'


@pytest.mark.parametrize(
    ('path', 'method'),
    [('/order/1', 'POST'), ('/sweep/1', 'GET'), ('/fetch/1', 'GET')],
)
async def test_signature_with_such_a_byte_is_none(
    deployment: Deployment, path: str, method: str
) -> None:
    """Guards against a success that no target has signed."""
    port = await _start(deployment, _spoil_signature)
    answer = await ask(port, path, method)
    assert answer.status == 502
    assert 'x-nutmegstep-server-stamp' not in answer.headers
    assert 'x-nutmegstep-part-stamps' not in answer.headers


async def test_attempt_with_such_a_byte_is_answered(
    deployment: Deployment,
) -> None:
    """Guards against the same in the identifier that the caller has given, in a
    merged answer and in a refusal.
    """
    port = await _start(deployment, _add_value)
    for path in ('/sweep/1', '/unknown/1'):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'GET %b HTTP/1.1\r\nHost: shop.example\r\n'
            b'X-Nutmegstep-Attempt-Id: a-\xf3\r\n\r\n' % path.encode()
        )
        async with asyncio.timeout(3):
            head = await reader.readuntil(b'\r\n\r\n')
        assert b'-attempt-id: a-\xf3\r\n' in head.lower()
        writer.close()
