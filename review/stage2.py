"""Stand-ins and helpers for the scripts of review/6 to review/10.

Only the standard library is used, and only loopback addresses. The store and the
servers follow PROTOCOL.md; the gateways are the project's own processes, started
with the command and the settings template of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'tile33.example'
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def now() -> float:
    """Return the steady time in seconds."""
    return time.monotonic()


def free_port(address: str) -> int:
    """Return a TCP port of an address that nothing listens on."""
    with socket.socket() as one:
        one.bind((address, 0))
        return one.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.started = now()

    def line(self, *words: object) -> None:
        """Write one line with the time since the start in seconds."""
        text = ' '.join(str(word) for word in words)
        self._file.write(f'{now() - self.started:9.3f} {text}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_message(reader: asyncio.StreamReader):
    """Read one HTTP/1.1 message; return first line, headers and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return lines[0], headers, body


def encode_response(status: int, body: bytes, headers=()) -> bytes:
    """Return an encoded response."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in headers]
    return '\r\n'.join([*lines, '', '']).encode() + body


class Store:
    """The platform's store: objects, revisions, watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.address = ('127.0.0.1', 0)
        self.server: asyncio.Server | None = None

    async def start(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object; the same contents change nothing."""
        by_name = self.objects.setdefault(kind, {})
        known = by_name.get(name)
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        meta = {
            'name': name,
            'rev': self.revision,
            'create_rev': known['meta']['create_rev'] if known else self.revision,
            'finalizers': [],
            'deletion_pending': False,
        }
        one = {'meta': meta, 'spec': spec, 'status': known and known['status']}
        by_name[name] = one
        self._note(kind, one, deleted=False)
        return one

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        one = self.objects.get(kind, {}).pop(name, None)
        if one is not None:
            self.revision += 1
            self._note(kind, one, deleted=True)

    def _note(self, kind: str, one: dict, deleted: bool) -> None:
        self.events.append((self.revision, kind, one, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(' ')
                status, document = await self._answer(method, target, body)
                encoded = json.dumps(document).encode()
                writer.write(
                    encode_response(
                        status,
                        encoded,
                        (('Content-Type', 'application/json'), ('Store-Era', '1')),
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method: str, target: str, body: bytes):
        await asyncio.sleep(0.004)
        parts = urllib.parse.urlsplit(target)
        query = {k: v[-1] for k, v in urllib.parse.parse_qs(parts.query).items()}
        path = parts.path.removeprefix('/v1/objects/')
        kind, _, name = path.partition('/')
        name = urllib.parse.unquote(name)
        by_name = self.objects.get(kind, {})
        if method == 'POST':
            document = json.loads(body)
            name = document['meta']['name']
            if name in by_name:
                return 409, by_name[name]
            return 200, self.put(kind, name, document.get('spec'))
        if method == 'PUT':
            if name not in by_name:
                return 404, {}
            return 200, self.put(kind, name, json.loads(body).get('spec'))
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, {}
        if name:
            return (200, by_name[name]) if name in by_name else (404, {})
        if 'watch' in query:
            return await self._watch(kind, query)
        after = query.get('after', '')
        names = [one for one in sorted(by_name) if one > after]
        items = [by_name[one] for one in names[:500]]
        return 200, {'items': items, 'more': len(names) > 500, 'at': self.revision}

    async def _watch(self, kind: str, query: dict):
        since = int(query['watch'])
        ends = now() + int(query.get('wait_ms', 0)) / 1000
        while True:
            found = [
                {'object': one, 'deleted': deleted}
                for rev, of_kind, one, deleted in self.events
                if of_kind == kind and rev > since
            ]
            left = ends - now()
            if found or left <= 0:
                return 200, {'events': found, 'at': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Server:
    """A server of a service, after the chapter "Servers" of PROTOCOL.md.

    It processes `slots` requests at once and queues `queue` more; the others are
    rejected with 503 and X-Nutmegstep-Not-Executed. `extra` returns further headers
    of its answers.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        record: Record,
        *,
        slots: int = 6,
        queue: int = 24,
        work_s: float = 0.12,
        connections: int = 100,
        body: bytes = b'r' * 64,
        extra=None,
    ) -> None:
        self.service = service
        self.zone = zone
        self.name = 'i-' + os.urandom(5).hex()
        self.address = ('127.0.0.1', 0)
        self.slots = slots
        self.work_s = work_s
        self.state = 'serving'
        self.extra = extra or (lambda attempt: ())
        self.arrivals: list[tuple[float, str, bool]] = []
        self._record = record
        self._queue = queue
        self._most = connections
        self._body = body
        self._waiting = 0
        self._open = 0
        self._number = 0
        self._free = asyncio.Semaphore(slots)
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def crash(self) -> None:
        """End: connections are reset, new ones are refused."""
        self._record.line('server', self.name, self.service, 'crashes')
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()

    async def restart(self) -> None:
        """Start again at the same address, as a new incarnation with a new id."""
        self.name = 'i-' + os.urandom(5).hex()
        self._born = int(time.time() * 1000)
        self._waiting = self._open = 0
        self._free = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._accept, *self.address)
        self._record.line('server', self.name, self.service, 'is back')

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)

    def entry(self) -> dict:
        """Return the entry of the server in the store."""
        host, port = self.address
        return {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.zone,
            'config_version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'seq': 1,
            'born': self._born,
        }

    async def _serve(self, reader, writer) -> None:
        self._open += 1
        if self._open > self._most:
            self._open -= 1
            writer.transport.abort()
            return
        try:
            while True:
                first, headers, _ = await read_message(reader)
                answer = await self._handle(headers)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._open -= 1
            writer.close()

    async def _handle(self, headers: dict) -> bytes:
        attempt = headers.get('x-nutmegstep-attempt-id', '')
        expected = headers.get('x-nutmegstep-expect-instance', self.name)
        if expected != self.name:
            self._note(attempt, 'rejects (421)', False)
            return self._reject(421, attempt)
        if self._waiting >= self._queue:
            self._note(attempt, 'rejects (full)', False)
            return self._reject(503, attempt)
        self._note(attempt, 'gets', True)
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._record.line('server', self.name, self.service, 'runs', attempt)
            await asyncio.sleep(self.work_s)
        self._number += 1
        stamp = f'{self.name[2:]}.{self._number:x}.{attempt}'
        headers = (
            *self._headers(attempt),
            ('X-Nutmegstep-Server-Stamp', stamp),
            ('Keep-Alive', 'timeout=10'),
        )
        return encode_response(200, self._body, headers)

    def _headers(self, attempt: str):
        leaving = (('Server-Leaving', '1'),) if self.state == 'draining' else ()
        return (('X-Nutmegstep-Attempt-Id', attempt), *leaving, *self.extra(attempt))

    def _reject(self, status: int, attempt: str) -> bytes:
        headers = (*self._headers(attempt), ('X-Nutmegstep-Not-Executed', '1'))
        return encode_response(status, b'', headers)

    def _note(self, attempt: str, what: str, accepted: bool) -> None:
        self.arrivals.append((now(), attempt, accepted))
        self._record.line('server', self.name, self.service, what, attempt)


class Gateway:
    """A gateway process, with settings like those of a small deployment."""

    def __init__(self, name: str, zone: str, store: Store, folder: pathlib.Path, ip: str) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.port = free_port(ip)
        self.ready_port = free_port(ip)
        self.peers_port = free_port(ip)
        self.store_address = '{}:{}'.format(*store.address)
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None
        self.memory_mb = 300

    def settings(self) -> str:
        """Return the template of the deploy file, filled in."""
        metrics_port = free_port(self.ip)
        fields = {
            'node': self.name,
            'zone': self.zone,
            'listen.front': f'{self.ip}:{self.port}',
            'listen.ready': f'{self.ip}:{self.ready_port}',
            'platform.address': self.store_address,
            'bootstrap': 'true',
            'bounds.grace_s': '6',
            'bounds.retry_budget_ratio': '0.2',
            'bounds.retry_budget_slack': '54',
            'bounds.budget_window_s': '10',
            'bounds.cold_overshoot': '1.5',
            'bounds.cold_slack': '5',
            'ip': self.ip,
            'internal_ports.0': str(self.peers_port),
            'limits.memory_mb': str(self.memory_mb),
            'limits.max_fds': '4100',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
        }
        lines = []
        for line in (ROOT / 'deploy/gateway.env').read_text().splitlines():
            for name, text in fields.items():
                line = line.replace('{{' + name + '}}', text)
            if '{{' in line:
                line = line[: line.index('{{')]
            if line.startswith('NUTMEGSTEP_METRICS_PORT='):
                # The gateways of a machine of ours share its addresses.
                line = f'NUTMEGSTEP_METRICS_PORT={metrics_port}'
            lines.append(line)
        return '\n'.join(lines) + '\n'

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        path = self.folder / f'{self.name}.env'
        path.write_text(self.settings())
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': str(self.folder),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'NUTMEGSTEP_NODE_FILE': str(path),
                },
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, seconds: float = 20) -> None:
        """Wait until the readiness probe gets 200."""
        ends = now() + seconds
        while now() < ends:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n')
                first, _, _ = await read_message(reader)
                writer.close()
                if ' 200 ' in first:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} is not ready')

    def memory(self) -> tuple[int, int]:
        """Return the bytes of memory in use now, and the most so far."""
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        found = dict(line.split(':', 1) for line in text.splitlines() if ':' in line)
        kb = [int(found[name].split()[0]) for name in ('VmRSS', 'VmHWM')]
        return kb[0] * 1024, kb[1] * 1024

    def log_lines(self, word: str) -> list[dict]:
        """Return the lines of the log with a message."""
        lines = []
        for line in (self.folder / f'{self.name}.log').read_text().splitlines():
            with contextlib.suppress(ValueError):
                one = json.loads(line)
                if one.get('message') == word:
                    lines.append(one)
        return lines

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def route(name: str, prefix: str, **fields: object) -> dict:
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'route_kind': 'idempotent',
        'timeout_ms': 8000,
        'target_latency_ms': 500,
        'priority': 2,
        'attempts': 2,
        **fields,
    }


def configuration(version: int, routes: list[dict], services: dict[str, int]) -> dict:
    """Return a configuration; services are given with their connections."""
    return {
        'config_version': version,
        'routes': routes,
        'services': [
            {'name': name, 'max_connections': most, 'cold_s': 3.0}
            for name, most in services.items()
        ],
        'limits': {
            'header_bytes': 8192,
            'body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def encode_request(
    method: str, path: str, attempt: str, deadline_ms: int, body: bytes = b''
) -> bytes:
    """Return an encoded request of a client."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Nutmegstep-Attempt-Id: {attempt}',
        f'X-Nutmegstep-Deadline-Ms: {deadline_ms}',
    ]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def ask(gateway: Gateway, method: str, path: str, deadline_ms: int, body: bytes = b'', seconds: float = 10, attempt: str | None = None):
    """Send one request on a new connection; return the status, headers and body."""
    attempt = attempt or os.urandom(8).hex()
    reader, writer = await asyncio.open_connection(gateway.ip, gateway.port)
    try:
        async with asyncio.timeout(seconds):
            writer.write(encode_request(method, path, attempt, deadline_ms, body))
            first, headers, answer = await read_message(reader)
        return int(first.split()[1]), headers, answer
    finally:
        writer.transport.abort()


def run_case(folder: str, play) -> None:
    """Run a case: `play(record, temporary folder, trouble)` returns whether the rule held."""
    case = pathlib.Path(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(case)
    code = CANNOT_RUN

    async def bounded() -> bool:
        temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        try:
            async with asyncio.timeout(110):
                return await play(record, temporary, trouble)
        finally:
            if not os.environ.get('KEEP_LOGS'):
                shutil.rmtree(temporary, ignore_errors=True)

    try:
        code = HELD if asyncio.run(bounded()) else BROKEN
    except Exception as error:  # noqa: BLE001
        record.line('the case could not run:', repr(error))
        print('the case could not run:', repr(error), file=sys.stderr)
    record.line('exit', code)
    record.close()
    sys.exit(code)
