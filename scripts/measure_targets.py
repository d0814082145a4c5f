"""Measures processor time per target request of the pool.

Compares a bare loop of asyncio protocol and h11 client with `TargetPool`
and with the whole path (reducer and pool). Only the time of this process
counts; the stand-in servers run in a process of their own, started by hand:

    python scripts/measure_targets.py serve --targets 120 --ports PORTS_FILE
    python scripts/measure_targets.py run --ports PORTS_FILE

Both stop by themselves.
"""

import argparse
import asyncio
import gc
import statistics
import time
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from random import Random
from unittest.mock import Mock

import h11
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from nutmegstep.callers import CallerHeadFilter, error_response
from nutmegstep.clock import SystemClock
from nutmegstep.engine import EngineState
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import CatalogueChanged, FleetChanged
from nutmegstep.model import (
    CoverageRule,
    Fleet,
    IdempotentQuery,
    IndexVersion,
    Service,
    Shard,
    Target,
    WorkClass,
)
from nutmegstep.runtime import RequestEnd, Runtime
from nutmegstep.targets import TargetPool
from nutmegstep.telemetry import Metrics, Telemetry, build_tracer
from nutmegstep.verdict import Reason
from nutmegstep.web import HttpLimits, HttpServer
from nutmegstep.web.connection import ServerConnection

_BODY = b'{"results":[1,2,3]}'
_ROUNDS = 25
_TURNS = 7


class _Canned(asyncio.Protocol):
    """Answers each request without an HTTP parser."""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        echo = data.lower().split(b'x-request-id: ')[1].split(b'\r\n')[0]
        self._transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\nX-Request-Id: %b\r\n'
            b'Index-Version: 41\r\nX-Boot-Id: b-1\r\n\r\n%b'
            % (len(_BODY), echo, _BODY),
        )


class _Bare(asyncio.Protocol):
    """Baseline: h11 client without pool, checks or gather."""

    def connection_made(self, transport):
        self._transport = transport
        self._http = h11.Connection(h11.CLIENT)

    def send(self, number, done):
        self._done = done
        head = h11.Request(
            method='POST',
            target='/shards/s-1',
            headers=[
                ('Host', '127.0.0.1'),
                ('X-Request-Id', str(number)),
                ('X-Timeout-Ms', '1000'),
                ('Index-Version', '41'),
                ('Content-Length', '2'),
            ],
        )
        self._transport.write(
            self._http.send(head)
            + self._http.send(h11.Data(data=b'{}'))
            + self._http.send(h11.EndOfMessage()),
        )

    def data_received(self, data):
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.EndOfMessage):
                self._http.start_next_cycle()
                self._done()
                return
            if event is h11.NEED_DATA:
                return


async def _serve(count, path):
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(_Canned, '127.0.0.1', 0) for _ in range(count)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    path.write_text(' '.join(map(str, ports)))
    await asyncio.sleep(90)


async def _rounds(start_round, size):
    """Return microseconds of processor time per target request."""
    for _ in range(5):
        await start_round()
    started = time.process_time()
    for _ in range(_ROUNDS):
        await start_round()
    return (time.process_time() - started) / (_ROUNDS * size) * 1e6


def _gather(count):
    done = asyncio.get_running_loop().create_future()
    left = count

    def one(*_):
        nonlocal left
        left -= 1
        if not left:
            done.set_result(None)

    return done, one


async def _bare(ports):
    loop = asyncio.get_running_loop()
    connections = [
        (await loop.create_connection(_Bare, '127.0.0.1', port))[1]
        for port in ports
    ]

    async def start_round():
        done, one = _gather(len(connections))
        for number, connection in enumerate(connections):
            connection.send(number, one)
        await done

    micros = await _rounds(start_round, len(ports))
    for connection in connections:
        connection._transport.abort()
    return micros


def _targets(ports):
    return [
        Target(f't-{port}', '127.0.0.1', port, 'd', 3, 1, 30) for port in ports
    ]


async def _pool(ports):
    clock = SystemClock()
    pool = TargetPool(clock)
    targets = _targets(ports)

    async def start_round():
        done, one = _gather(len(targets))
        deadline = clock.monotonic() + 1
        for number, target in enumerate(targets):
            effect = SendToTarget(
                number, 1, target.name, 's-1', 41, b'{}', deadline, ''
            )
            pool.send(effect, target, 2, one)
        await done

    micros = await _rounds(start_round, len(ports))
    pool.close()
    return micros


async def _whole(ports, ratio=None):
    clock = SystemClock()
    targets = _targets(ports)
    pool = TargetPool(clock)
    runtime = Runtime(EngineState('d', Random(1)), clock, pool)
    shards = {
        f's-{target.port}': Shard(f's-{target.port}', 'g', (target.name,))
        for target in targets
    }
    service = Service(
        'a',
        'i',
        ('g',),
        WorkClass.INTERACTIVE,
        CoverageRule.WHOLE,
        timedelta(seconds=1),
    )
    by_name = {target.name: target for target in targets}
    runtime.dispatch(FleetChanged(Fleet(1, {'a': service}, by_name, 7, {})))
    runtime.dispatch(CatalogueChanged('i', (IndexVersion(41, shards),)))

    telemetry = None
    if ratio is not None:
        metrics = Metrics(lambda: {'a'})
        tracer = build_tracer(InMemorySpanExporter(), ratio)
        telemetry = Telemetry(tracer, metrics, clock)
        runtime.observe_send = telemetry.observe_send

    async def start_round():
        query = IdempotentQuery('r', 'a', b'{}', clock.monotonic() + 1)
        if telemetry is None:
            (await runtime.execute(query)).unwrap()
            return
        trace = telemetry.begin('a', 'r', '')
        query = replace(query, traceparent=trace.traceparent)
        (await runtime.execute(query)).unwrap()
        trace.end(RequestEnd(200, 'answer'))

    micros = await _rounds(start_round, len(ports))
    pool.close()
    return micros


async def _not_sampled(ports):
    return await _whole(ports, 0)


async def _sampled(ports):
    return await _whole(ports, 1)


async def _refusals(ports):
    """Return microseconds per refusal by the head, server side only."""
    head_filter = CallerHeadFilter(
        lambda: True,
        lambda name: Reason.OVERLOADED,
        Metrics(tuple).count_early_refusal,
    )
    server = HttpServer(None, HttpLimits(), head_filter.check, error_response)
    transport = Mock(spec=asyncio.Transport)
    transport.get_write_buffer_size.return_value = 0
    sent = []
    transport.write = sent.append
    transport.resume_reading = transport.pause_reading = _nothing
    connection = ServerConnection(server)
    connection.connection_made(transport)
    request = (
        b'POST /v1/services/a/query HTTP/1.1\r\nHost: h\r\n'
        b'X-Request-Id: r-1\r\nContent-Length: 2\r\n\r\n{}'
    )

    async def start_round():
        for _ in ports:
            connection.data_received(request)

    micros = await _rounds(start_round, len(ports))
    assert sent[-1].startswith(b'HTTP/1.1 429')
    return micros


def _nothing():
    return None


async def _run(ports):
    """Alternate between the modes, because the machine is shared."""
    modes = {
        'bare loop': _bare,
        'pool': _pool,
        'whole path': _whole,
        'whole path, metrics, not sampled': _not_sampled,
        'whole path, metrics, all sampled': _sampled,
        'early refusal (per refusal)': _refusals,
    }
    found = {name: [] for name in modes}
    for _ in range(_TURNS):
        for name, measure in modes.items():
            gc.collect()
            found[name].append(await measure(ports))
    bare = statistics.median(found['bare loop'])
    for name, micros in found.items():
        middle = statistics.median(micros)
        spread = f'{min(micros):.0f} to {max(micros):.0f}'
        print(f'{name}: {middle:.0f} us ({spread}), {middle / bare:.2f}')


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('mode', choices=('serve', 'run'))
    parser.add_argument('--targets', type=int, default=120)
    parser.add_argument('--ports', type=Path, required=True)
    arguments = parser.parse_args()
    if arguments.mode == 'serve':
        asyncio.run(_serve(arguments.targets, arguments.ports))
    else:
        ports = [int(port) for port in arguments.ports.read_text().split()]
        asyncio.run(_run(ports))


if __name__ == '__main__':
    main()
