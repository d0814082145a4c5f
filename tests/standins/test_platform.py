"""Tests of the platform stand-in, above all of its fault injection."""

import orjson

from nutmegstep.clock import ManualClock
from nutmegstep.platform_api import CallKind, VmRecord
from nutmegstep.standins.platform import PlatformStandIn
from nutmegstep.web import HttpRequest, HttpResponse


async def _send(
    standin: PlatformStandIn,
    method: str,
    path: str,
    body: bytes = b'',
    **query: str,
) -> HttpResponse:
    return await standin.handle(HttpRequest(method, path, query, {}, body))


async def test_lags_delay_lists_and_watches_and_calls_are_counted() -> None:
    """Guards against lags that have no effect, and against wrong call rates.

    Tests of late VM lists and watches would then pass without any lag.
    """
    clock = ManualClock(10)
    standin = PlatformStandIn(clock)
    standin.faults.list_lag = 5
    standin.faults.watch_lag = 5
    standin.set_vms([VmRecord('vm-1', '127.0.0.1:1', 'domain-1')])
    await _send(standin, 'PUT', '/objects/a', b'1')
    assert (await _send(standin, 'GET', '/vms')).body == b'[]'
    watch = {'names': 'a', 'since': '0', 'timeout_ms': '20'}
    early = await _send(standin, 'GET', '/watch', **watch)
    assert orjson.loads(early.body)['changed'] == []
    clock.advance(5)
    late = await _send(standin, 'GET', '/watch', **watch)
    assert len(orjson.loads(late.body)['changed']) == 1
    assert len(orjson.loads((await _send(standin, 'GET', '/vms')).body)) == 1
    assert standin.rate_by_kind()[CallKind.WATCH] == 2 / 5


async def test_reads_return_older_values() -> None:
    """Guards against reads that return the newest value despite `older_by`.

    Tests use it to imitate a platform that was restored from a backup.
    """
    standin = PlatformStandIn()
    for document in (b'a', b'b', b'c', b'd', b'1', b'2'):
        await _send(standin, 'PUT', '/objects/a', document)
    standin.faults.older_by = 1
    assert (await _send(standin, 'GET', '/objects/a')).body == b'1'
    standin.faults.older_by = 9
    assert (await _send(standin, 'GET', '/objects/a')).body == b'c'


async def test_deleted_and_oversized_values() -> None:
    """Guards against accepting values above a megabyte and reading deleted
    objects, which the platform itself refuses.
    """
    standin = PlatformStandIn()
    large = await _send(standin, 'PUT', '/objects/a', bytes(1_000_001))
    assert large.status == 413
    await _send(standin, 'PUT', '/objects/a', b'1')
    await _send(standin, 'DELETE', '/objects/a')
    assert (await _send(standin, 'GET', '/objects/a')).status == 404
