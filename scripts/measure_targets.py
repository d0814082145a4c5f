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
import time
from datetime import timedelta
from pathlib import Path
from random import Random

import h11

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
from nutmegstep.runtime import Runtime
from nutmegstep.targets import TargetPool

_BODY = b'{"results":[1,2,3]}'
_ROUNDS = 200


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
    for _ in range(10):
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

    return await _rounds(start_round, len(ports))


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

    return await _rounds(start_round, len(ports))


async def _whole(ports):
    clock = SystemClock()
    targets = _targets(ports)
    runtime = Runtime(EngineState('d', Random(1)), clock, TargetPool(clock))
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

    async def start_round():
        query = IdempotentQuery('r', 'a', b'{}', clock.monotonic() + 1)
        (await runtime.ask(query)).unwrap()

    return await _rounds(start_round, len(ports))


async def _run(ports):
    for turn in range(3):
        for name, measure in (
            ('bare loop', _bare),
            ('pool', _pool),
            ('whole path', _whole),
        ):
            micros = await measure(ports)
            print(f'turn {turn}: {name}: {micros:.0f} us per target request')


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
