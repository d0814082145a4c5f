"""Tests of the target stand-in over loopback sockets."""

import asyncio
from random import Random

import orjson

from nutmegstep.standins import (
    ServedTarget,
    TargetSettings,
    TargetStandIn,
    control_handler,
    serve_target,
)
from nutmegstep.web import HttpRequest

_REQUEST = (
    b'POST /shards/a HTTP/1.1\r\nHost: t\r\nX-Request-Id: 9\r\n'
    b'Index-Version: 4\r\nContent-Length: 2\r\n\r\n{}'
)
_SILENCE_SECONDS = 0.05


async def _serve(**settings: int) -> tuple[ServedTarget, int]:
    target = TargetStandIn(
        TargetSettings('t-1', **settings),
        Random(1),
        {4: frozenset(('a',))},
    )
    server, connections = await serve_target(target, '127.0.0.1')
    port = server.sockets[0].getsockname()[1]
    return ServedTarget(target, connections), port


async def test_only_open_connections_go_silent() -> None:
    """Guards against a fault that also silences connections opened later.

    Clients must be able to recover from silence by a new connection.
    """
    served, port = await _serve()
    control = control_handler({'t-1': served})
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(_REQUEST)
    assert (await reader.readline()).startswith(b'HTTP/1.1 200')
    body = b'{"targets": ["t-1"]}'
    await control(HttpRequest('POST', '/silence', {}, {}, body))
    await reader.readuntil(b'}')
    writer.write(_REQUEST)
    silent = asyncio.ensure_future(reader.readline())
    fresh, fresh_writer = await asyncio.open_connection('127.0.0.1', port)
    fresh_writer.write(_REQUEST)
    assert (await fresh.readline()).startswith(b'HTTP/1.1 200')
    await asyncio.sleep(_SILENCE_SECONDS)
    assert not silent.done()
    writer.close()
    fresh_writer.close()
    await silent


async def test_connections_beyond_the_limit_are_reset() -> None:
    """Guards against a stand-in that accepts connections above its limit."""
    served, port = await _serve(connections=1)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(_REQUEST)
    assert await reader.readline()
    refused, refused_writer = await asyncio.open_connection('127.0.0.1', port)
    refused_writer.write(_REQUEST)
    try:
        answer = await refused.read()
    except ConnectionError:
        answer = b''
    assert answer == b''
    assert served.target.counts.refused_connections == 1
    writer.close()
    refused_writer.close()


async def test_control_changes_versions_and_reports_state() -> None:
    """Guards against control actions that do not reach the named target, and
    against failure at names of targets in other processes.
    """
    served, _ = await _serve()
    control = control_handler({'t-1': served})
    body = b'{"targets": ["t-1"], "shards_by_version": {"5": ["b"]}}'
    await control(HttpRequest('POST', '/versions', {}, {}, body))
    assert served.target.shards_by_version == {5: frozenset(('b',))}
    cold = b'{"targets": ["t-1", "elsewhere"], "restarted": true}'
    await control(HttpRequest('POST', '/cold', {}, {}, cold))
    report = await control(HttpRequest('GET', '/targets', {}, {}, b''))
    assert orjson.loads(report.body)['t-1']['cold'] is True
