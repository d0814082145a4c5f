"""Stand-ins for the review cases: store, servers, clients and VMs.

They follow PROTOCOL.md, use the standard library only, and listen on loopback
addresses. The gateways are started with the command of deploy/system.toml and
with settings that are made from deploy/gateway.env.
"""

import asyncio
import json
import os
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    'stable_window_ms': 4000,
    'ack_ms': 5000,
    'drain_ms': 3000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_budget_slack': 54,
    'cold_overshoot': 1.5,
    'cold_slack': 5,
    'evacuation_ms': 5000,
    'recovery_s': 12,
}


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self.start = time.monotonic()

    def __call__(self, *words):
        at = time.monotonic() - self.start
        print(f'{at:8.3f} s', *words, file=self.file, flush=True)


def free_port(host):
    with socket.socket() as one:
        one.bind((host, 0))
        return one.getsockname()[1]


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get('content-length', '0')))
    return first, headers, body


class Store:
    """The platform's store: objects, revisions, watches."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.lose_answer = lambda kind, query, reply: False
        self.on_watch = lambda kind, query: None

    async def start(self, host='127.0.0.1'):
        self.host, self.port = host, free_port(host)
        self.server = await asyncio.start_server(self._serve, host, self.port)

    def put(self, kind, name, spec):
        """Write an object as the operator or a server does."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return self.revision
        self.revision += 1
        created = known['meta']['create_rev'] if known else self.revision
        meta = {
            'name': name,
            'rev': self.revision,
            'create_rev': created,
            'finalizers': [],
            'deletion_pending': False,
        }
        written = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind][name] = written
        self._note(kind, written, False)
        return self.revision

    def delete(self, kind, name):
        gone = self.objects.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            self._note(kind, gone, True)

    def _note(self, kind, one, deleted):
        self.events.append((self.revision, kind, one, deleted))
        waiting, self.changed = self.changed, asyncio.Event()
        waiting.set()

    async def _serve(self, reader, writer):
        with suppress(asyncio.IncompleteReadError, ConnectionError, OSError):
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(' ')
                parts = urlsplit(target)
                query = {k: v[-1] for k, v in parse_qs(parts.query).items()}
                kind, _, name = parts.path.removeprefix(
                    '/v1/objects/'
                ).partition('/')
                status, reply = await self._answer(
                    method, kind, name, query, body
                )
                if self.lose_answer(kind, query, reply):
                    # "A connection on which a response is lost returns
                    # nothing further."
                    await reader.read()
                    return
                content = json.dumps(reply).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Store-Era: 1\r\nContent-Length: {len(content)}\r\n\r\n'
                    .encode()
                    + content
                )
                await writer.drain()
        with suppress(Exception):
            writer.close()

    async def _answer(self, method, kind, name, query, body):
        known = self.objects.setdefault(kind, {})
        if method == 'GET' and not name:
            if 'watch' in query:
                return await self._watch(kind, query)
            names = sorted(n for n in known if n > query.get('after', ''))
            return 200, {
                'items': [known[n] for n in names[:500]],
                'more': len(names) > 500,
                'at': self.revision,
            }
        if method == 'GET':
            return (200, known[name]) if name in known else (404, {})
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, {}
        document = json.loads(body)
        if method == 'POST':
            name = document['meta']['name']
            if name in known:
                return 409, known[name]
        elif name not in known:
            return 404, {}
        self.put(kind, name, document.get('spec'))
        return 200, known[name]

    async def _watch(self, kind, query):
        since = int(query['watch'])
        ends = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        self.on_watch(kind, query)
        while True:
            found = [
                {'object': one, 'deleted': deleted}
                for at, of_kind, one, deleted in self.events
                if of_kind == kind and at > since
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'at': self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Server:
    """A server of a service; `answer` may replace what it sends.

    It runs a request when a slot is free, and keeps the attempt identifiers of
    those that it has begun to work on in `run`.
    """

    count = 0

    def __init__(self, record, service, zone, host, slots=6, work_s=0.005):
        Server.count += 1
        self.number = Server.count
        self.record = record
        self.id = f'i-{self.number:02d}{service}'
        self.service, self.zone, self.host = service, zone, host
        self.slots, self.work_s = slots, work_s
        self.arrived, self.run = [], []
        self.stamps = 0
        self.answer = None
        self.free = asyncio.Semaphore(slots)

    async def start(self, store):
        self.port = free_port(self.host)
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.store = store
        self.announce('serving')

    def announce(self, state):
        self.state = state
        return self.store.put(
            'servers',
            self.id,
            {
                'service': self.service,
                'address': f'{self.host}:{self.port}',
                'zone': self.zone,
                'config_version': 'v1',
                'slots': self.slots,
                'state': state,
                'cold_remaining_ms': 0,
                'seq': 1,
                'born': 1_700_000_000_000 + self.number,
            },
        )

    def stamp(self):
        self.stamps += 1
        return f'3e1b.{self.number:02d}.{self.stamps:x}.600.0.c9f2a4d1'

    def body(self):
        return b''.join(
            bytes([self.number]) * 8 + bytes([n]) * 8 for n in range(3)
        )

    def reply(self, headers, status=200, body=None, extra=(), stamp=None):
        body = self.body() if body is None else body
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        if 'x-nutmegstep-attempt-id' in headers:
            attempt = headers['x-nutmegstep-attempt-id']
            lines.append(f'X-Nutmegstep-Attempt-Id: {attempt}')
        stamp = self.stamp() if stamp is None else stamp
        if stamp:
            lines.append(f'X-Nutmegstep-Server-Stamp: {stamp}')
        lines.extend(extra)
        return '\r\n'.join([*lines, '', '']).encode('latin-1') + body

    async def _serve(self, reader, writer):
        with suppress(asyncio.IncompleteReadError, ConnectionError, OSError):
            while True:
                first, headers, body = await read_message(reader)
                attempt = headers.get('x-nutmegstep-attempt-id', '')
                if first.startswith('GET /health'):
                    writer.write(
                        self.reply(
                            {}, extra=[f'X-Nutmegstep-Instance-Id: {self.id}']
                        )
                    )
                    continue
                expected = headers.get('x-nutmegstep-expect-instance')
                if expected not in {None, self.id}:
                    writer.write(
                        self.reply(
                            headers, 421, b'', ['X-Nutmegstep-Not-Executed: 1']
                        )
                    )
                    continue
                self.arrived.append((time.monotonic(), attempt))
                self.record(f'server {self.id} gets {attempt}: {first}')
                async with self.free:
                    self.run.append((time.monotonic(), attempt))
                    await asyncio.sleep(self.work_s)
                    if self.answer is None:
                        writer.write(self.reply(headers))
                    elif await self.answer(self, headers, writer) == 'close':
                        break
                await writer.drain()
        with suppress(Exception):
            writer.close()


def render(template, fields):
    """Fill in the placeholders of a template of settings."""

    def value(match):
        found = fields
        for key in match.group(1).split('.'):
            found = found[int(key)] if isinstance(found, list) else found[key]
        if isinstance(found, bool):
            return 'true' if found else 'false'
        return str(found)

    return re.sub(r'\{\{([a-z_.0-9]+)\}\}', value, template)


class Vm:
    """A gateway process, started as deploy/system.toml says."""

    def __init__(self, name, zone, host, store, folder, first=False):
        self.name, self.host = name, host
        self.front, self.ready = free_port(host), free_port(host)
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = role['roles']['gateway']
        self.command = shlex.split(role['run'])
        self.fields = {
            'node': name,
            'zone': zone,
            'ip': host,
            'listen': {
                'front': f'{host}:{self.front}',
                'ready': f'{host}:{self.ready}',
            },
            'platform': {'address': f'{store.host}:{store.port}'},
            'bootstrap': first,
            'internal_ports': [free_port(host)],
            'limits': {'cpu_share': 0.537, 'cores': 2},
            'bounds': BOUNDS,
        }
        template = (ROOT / role['template']).read_text()
        self.settings = Path(folder) / f'{name}.conf'
        text = render(template, self.fields)
        # Port 9464 may be taken on the machine that runs the case.
        text = re.sub(
            r'(?m)^NUTMEGSTEP_METRICS_PORT=.*$',
            f'NUTMEGSTEP_METRICS_PORT={free_port(host)}',
            text,
        )
        self.settings.write_text(text)
        self.log = (Path(folder) / f'{name}.log').open('ab')
        self.process = None

    async def start(self):
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'NUTMEGSTEP_NODE_FILE': str(self.settings),
        }
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    async def wait_ready(self, seconds=20):
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self):
        try:
            status, _, _ = await ask(
                self.host, self.ready, 'GET /v1/ready', {'Host': self.host},
                seconds=1,
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


async def ask(host, port, request, headers, body=b'', seconds=5.0):
    """Send a request on a new connection; return status, headers and body.

    Raises TimeoutError without an answer in time, and EOFError if the
    connection ends before the answer is complete.
    """
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            return await exchange(reader, writer, request, headers, body)
        finally:
            writer.close()


async def exchange(reader, writer, request, headers, body=b''):
    lines = [f'{request} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if body or not request.startswith('GET'):
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    try:
        first, found, content = await read_message(reader)
        while first.split(' ')[1].startswith('1'):
            first, found, content = await read_message(reader)
    except ConnectionError as error:
        raise EOFError from error
    return int(first.split(' ')[1]), found, content


def headers_for(attempt, host, deadline_ms):
    return {
        'Host': host,
        'X-Nutmegstep-Attempt-Id': attempt,
        'X-Nutmegstep-Deadline-Ms': str(deadline_ms),
    }


def route(name, prefix, kind='idempotent', **fields):
    return {
        'name': name,
        'host': 'shop.example',
        'path_prefix': prefix,
        'route_kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 300,
        'priority': 1,
        'attempts': 2,
        **fields,
    }


def configuration(version, routes, services, max_connections=31):
    return {
        'config_version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': max_connections,
                'cold_s': 3.0,
                'cold_per_s': 0.0,
            }
            for name in services
        ],
        'limits': {
            'header_bytes': 16384,
            'body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def run_case(folder, case, seconds=115):
    """Run `case(record, folder)`; exit with the status that it returns."""
    record = Record(folder)
    status = NOT_RUN

    async def main():
        with tempfile.TemporaryDirectory(prefix='review-') as work:
            vms = []
            try:
                async with asyncio.timeout(seconds):
                    return await case(record, work, vms)
            finally:
                for vm in vms:
                    await vm.end()
                keep = os.environ.get('KEEP_LOGS')
                if keep:
                    for log in Path(work).glob('*.log'):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())

    try:
        status = asyncio.run(main())
    except Exception as error:  # noqa: BLE001
        record('the case could not run:', repr(error))
    record('result:', {0: 'held', 1: 'BROKEN', 2: 'not run'}[status])
    print((Path(folder) / 'record.txt').read_text().splitlines()[-1])
    sys.stdout.flush()
    os._exit(status)


class Load:
    """Requests of stand-in clients, and what became of them.

    Each client attempt uses a new connection and waits until its deadline.
    """

    def __init__(self, record, host='shop.example'):
        self.record, self.host = record, host
        self.sent = {}
        self.answers = {}
        self.tasks = []

    async def one(self, vm, request, attempt, deadline_ms, body=b''):
        self.sent[attempt] = time.monotonic()
        self.record(f'client sends {attempt}: {request}')
        try:
            found = await ask(
                vm.host,
                vm.front,
                request,
                headers_for(attempt, self.host, deadline_ms),
                body,
                deadline_ms / 1000,
            )
        except TimeoutError:
            self.record(f'client of {attempt} has no answer by its deadline')
            return None
        except (EOFError, OSError) as error:
            self.record(f'client of {attempt}: connection ended {error!r}')
            return None
        took = time.monotonic() - self.sent[attempt]
        self.answers[attempt] = (took, *found)
        self.record(
            f'client of {attempt} gets {found[0]} after {took:.3f} s,',
            'stamp', found[1].get('x-nutmegstep-server-stamp', 'none'),
        )
        return found

    async def steady(self, seconds, per_s, start):
        """Call `start(number)` so often; wait for all."""
        begun = time.monotonic()
        number = 0
        while (at := number / per_s) < seconds:
            await asyncio.sleep(max(0, begun + at - time.monotonic()))
            self.tasks.append(asyncio.create_task(start(number)))
            number += 1
        await asyncio.gather(*self.tasks)

    def late(self, timeout_s, attempts=None):
        """Return how many had no answer at the timeout, and half a second later."""
        attempts = self.sent if attempts is None else attempts
        took = [
            self.answers[one][0] if one in self.answers else 9e9
            for one in attempts
        ]
        return (
            sum(one > timeout_s for one in took),
            sum(one > timeout_s + 0.5 for one in took),
        )


class Spell:
    """A time in which some servers are in trouble, from a while after the start.

    It strikes those servers of a service that have got most requests by then: which
    ones a disruption strikes is left open by the pages.
    """

    def __init__(self, record, servers, share, for_s, answer):
        self.record, self.servers, self.share = record, servers, share
        self.for_s, self.answer = for_s, answer
        self.struck = []

    async def run(self, after_s=2.0):
        await asyncio.sleep(after_s)
        busy = sorted(self.servers, key=lambda one: len(one.arrived))
        self.struck = busy[-max(1, round(len(busy) * self.share)):]
        self.record('trouble begins at', *(one.id for one in self.struck))
        for one in self.struck:
            one.answer = self.answer
        await asyncio.sleep(self.for_s)
        for one in self.struck:
            one.answer = None
        self.record('trouble ends')
