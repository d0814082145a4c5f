"""Stand-ins for the review: the platform's store, servers, clients and machines.

They follow PROTOCOL.md and DEPLOY.md, use the standard library only, and speak over
loopback addresses on the real clock. The gateways are the project's own programs, each
a process started with the command and the settings template of the deploy file.
"""

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone', 421: 'Misdirected Request',
           500: 'Internal Server Error', 503: 'Service Unavailable'}


class Record:
    """What was sent, answered and run; printed and written to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.began

    def write(self, text, show=False):
        line = f'{self.now():8.3f} {text}'
        self.file.write(line + '\n')
        if show:
            self.file.flush()
            print(line, flush=True)


class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self):
        return int(self.start.split(' ')[1])

    def get(self, name, default=''):
        return next((text for key, text in self.headers if key.lower() == name.lower()), default)


async def read_message(reader, is_reply=False):
    """Read one HTTP/1.1 message; None when the connection ends before it begins."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError('message cut') from error
        return None
    start, *lines = head.decode('latin-1').split('\r\n')
    headers = [tuple(part.strip() for part in line.split(':', 1)) for line in lines if line]
    message = Message(start, headers, b'')
    if is_reply and 100 <= message.status < 200:
        return await read_message(reader, True)
    if message.get('transfer-encoding').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                break
        message.body = b''.join(parts)
    else:
        message.body = await reader.readexactly(int(message.get('content-length', '0')))
    return message


def encode_reply(status, headers, body):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class HttpListener:
    """Serves `answer(message)`, which returns (status, headers, body), or None for a reset."""

    def __init__(self, answer):
        self.answer, self.address, self._server, self._writers = answer, '', None, set()

    async def listen(self, host='127.0.0.1'):
        self._server = await asyncio.start_server(self._serve, host, 0, limit=4 * 2**20)
        self.address = '{}:{}'.format(*self._server.sockets[0].getsockname())

    def close(self):
        if self._server is not None:
            self._server.close()
            self.cut()

    def cut(self):
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                # A server drops a request when its connection closes.
                work = asyncio.ensure_future(self.answer(message))
                closed = asyncio.ensure_future(reader.read(1))
                await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                read = (await asyncio.gather(closed, return_exceptions=True))[0]
                if not work.done() or read == b'':
                    work.cancel()
                    return
                reply = work.result()
                if reply is None:
                    writer.transport.abort()
                    return
                writer.write(encode_reply(*reply))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store: objects with revisions, conditional writes, watches."""

    def __init__(self, history_s=20.0):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.dropped = 100
        self.history_s = history_s
        self.changed = asyncio.Event()
        self.calls = 0
        self.listener = HttpListener(self._answer)

    async def start(self):
        await self.listener.listen()

    def put(self, kind, name, spec):
        """Write as the operator or a server does; return when the store has accepted it."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return
        self.revision += 1
        created = known['meta']['create_rev'] if known else self.revision
        one = {'meta': {'name': name, 'rev': self.revision, 'create_rev': created,
                        'finalizers': [], 'deletion_pending': False},
               'spec': spec, 'status': None}
        self.objects[kind][name] = one
        self._note(kind, one, False)

    def delete(self, kind, name):
        one = self.objects.get(kind, {}).pop(name, None)
        if one is not None:
            self.revision += 1
            self._note(kind, one, True)
        return one

    def _note(self, kind, one, deleted):
        text = json.dumps({'object': one, 'deleted': deleted}, separators=(',', ':')).encode()
        self.events.append((self.revision, kind, text, time.monotonic()))
        waiting, self.changed = self.changed, asyncio.Event()
        waiting.set()

    async def _answer(self, message):
        self.calls += 1
        method, target, _ = message.start.split(' ')
        path, _, query = target.partition('?')
        words = path.split('/')[3:]
        fields = dict(one.split('=', 1) for one in query.split('&') if one)
        if method == 'GET' and len(words) == 1:
            if 'watch' in fields:
                return await self._watch(words[0], int(fields['watch']), int(fields.get('wait_ms', 0)))
            return self._list(words[0], fields.get('after', ''))
        return self._write(method, words, message.body)

    def _list(self, kind, after):
        names = sorted(one for one in self.objects.get(kind, {}) if one > after)
        items, size = [], 0
        for name in names[:500]:
            text = json.dumps(self.objects[kind][name], separators=(',', ':'))
            size += len(text)
            items.append(text)
            if size >= 2**20:
                break
        more = 'true' if len(items) < len(names) else 'false'
        body = '{"items":[%s],"more":%s,"at":%d}' % (','.join(items), more, self.revision)
        return 200, [('Content-Type', 'application/json')], body.encode()

    async def _watch(self, kind, since, wait_ms):
        while self.events and self.events[0][3] < time.monotonic() - self.history_s:
            self.dropped = self.events.pop(0)[0]
        if since < self.dropped:
            return 410, [], b'{}'
        ends = time.monotonic() + wait_ms / 1000
        while True:
            found = [text for rev, one, text, _ in self.events if rev > since and one == kind]
            left = ends - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
        body = b'{"events":[%s],"at":%d}' % (b','.join(found), self.revision)
        return 200, [('Content-Type', 'application/json')], body

    def _write(self, method, words, body):
        document = json.loads(body) if body else {}
        kind = words[0]
        name = words[1] if len(words) > 1 else document['meta']['name']
        known = self.objects.setdefault(kind, {}).get(name)
        if method == 'GET':
            return (200, [], json.dumps(known).encode()) if known else (404, [], b'{}')
        if method == 'POST':
            if known:
                return 409, [], json.dumps(known).encode()
            self.put(kind, name, document.get('spec'))
        elif known is None:
            return 404, [], b'{}'
        elif method == 'DELETE':
            self.delete(kind, name)
            return 200, [], b'{}'
        elif method == 'PUT':
            wanted = document.get('meta', {}).get('rev')
            if wanted is not None and wanted != known['meta']['rev']:
                return 409, [], json.dumps(known).encode()
            self.put(kind, name, document.get('spec'))
        return 200, [], json.dumps(self.objects[kind][name]).encode()


class Door:
    """An address of the store for one machine, which it can turn away (503)."""

    def __init__(self, store):
        self.store, self.turns_away = store, False
        self.listener = HttpListener(self._answer)

    async def start(self):
        await self.listener.listen()

    def turn_away(self):
        self.turns_away = True
        self.listener.cut()

    async def _answer(self, message):
        if self.turns_away:
            self.store.calls += 1
            return 503, [], b'{}'
        return await self.store.listener.answer(message)


class Server:
    """A server: slots, a short queue, a signature, and its own entry in the store."""

    def __init__(self, store, record, service, zone, slots=6, queue=24, work_s=0.006, size=480):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.slots, self.queue, self.work_s, self.size = slots, queue, work_s, size
        self.id = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.state, self.seq, self.busy, self.waiting = 'serving', 0, 0, []
        self.arrivals = []
        self.runs = []
        self.finished = []
        self.extra_headers = lambda: []
        self.listener = HttpListener(self._answer)

    async def start(self, host='127.0.0.1'):
        await self.listener.listen(host)
        self.announce()

    def announce(self):
        self.seq += 1
        self.store.put('servers', self.id, {
            'service': self.service, 'address': self.listener.address, 'zone': self.zone,
            'config_version': 'v1', 'slots': self.slots, 'state': self.state,
            'cold_remaining_ms': 0, 'seq': self.seq, 'born': self.born})

    def drain(self):
        """Report that the server leaves; the store's acceptance is the acknowledgement."""
        self.state = 'draining'
        self.announce()
        return time.monotonic()

    def end(self):
        self.store.delete('servers', self.id)
        self.listener.close()

    async def _answer(self, message):
        attempt = message.get('x-nutmegstep-attempt-id')
        echo = [('X-Nutmegstep-Attempt-Id', attempt), ('X-Nutmegstep-Instance-Id', self.id)]
        expected = message.get('x-nutmegstep-expect-instance')
        if expected and expected != self.id:
            return 421, echo, b''
        now = time.monotonic()
        self.arrivals.append((now, attempt))
        self.record.write(f'server {self.id} gets {attempt}')
        if self.busy >= self.slots and len(self.waiting) >= self.queue:
            return 503, [*echo, ('X-Nutmegstep-Not-Executed', '1'), *self.extra_headers()], b''
        if self.busy >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self.waiting:
                    self.waiting.remove(turn)
                elif not turn.cancelled():
                    self._next()
                raise
        else:
            self.busy += 1
        try:
            self.runs.append((time.monotonic(), attempt))
            self.record.write(f'server {self.id} runs {attempt}')
            await asyncio.sleep(self.work_s() if callable(self.work_s) else self.work_s)
        finally:
            self._next()
        self.finished.append((time.monotonic(), attempt))
        stamp = f'{self.id[2:]}.{attempt}.{len(self.runs)}'
        body = random.randbytes(self.size)
        return 200, [*echo, ('X-Nutmegstep-Server-Stamp', stamp), *self.extra_headers()], body

    def _next(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.busy -= 1


async def ask(address, host, path, attempt, deadline_ms, method='GET', leave_after=None):
    """Send one request on a new connection; return its answer, or None without a whole one."""
    ip, port = address.rsplit(':', 1)
    seconds = deadline_ms / 1000 if leave_after is None else leave_after
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=4 * 2**20)
            head = (f'{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Nutmegstep-Attempt-Id: {attempt}\r\n'
                    f'X-Nutmegstep-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n')
            writer.write(head.encode())
            return await read_message(reader, True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


def attempt_id():
    return f'{random.getrandbits(64):016x}'


def fill(template, fields):
    """Fill in a settings template as DEPLOY.md says, as far as the deploy file uses it."""
    def value(match):
        found = fields
        for key in match[1].split('.'):
            found = found.get(key, '') if isinstance(found, dict) else found[int(key)]
        return str(found).lower() if isinstance(found, bool) else str(found)
    return re.sub(r'\{\{([a-z_0-9.]+)\}\}', value, template)


class Machine:
    """A machine of class `front` that runs the role of the deploy file."""

    def __init__(self, record, folder, number, zone, store, memory_mb=300, bounds=None, **limits):
        self.record, self.folder, self.name, self.zone = record, folder, f'front-{zone}-{number}', zone
        self.ip = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}.{number}'
        self.memory_mb, self.process, self.starts, self.log = memory_mb, None, 0, None
        self.front, self.ready = f'{self.ip}:8226', f'{self.ip}:8227'
        self.first = True
        self.fields = {
            'node': self.name, 'zone': zone, 'ip': self.ip, 'listen': {'front': self.front, 'ready': self.ready},
            'internal_ports': [7740, 7755], 'platform': {'address': store.listener.address},
            'limits': {'memory_mb': memory_mb, 'max_fds': 4100, 'cpu_share': 0.537, 'cores': 2, **limits},
            'bounds': {'grace_s': 6, 'retry_budget_ratio': 0.2, 'retry_budget_slack': 54, 'budget_window_s': 10,
                       'cold_overshoot': 1.5, 'cold_slack': 5, **(bounds or {})}}

    def start(self):
        role = next(iter(tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles'].values()))
        settings = Path(self.folder) / f'{self.name}.conf'
        settings.write_text(fill((ROOT / role['template']).read_text(), {**self.fields, 'bootstrap': self.first}))
        self.first = False
        self.log = self.log or open(Path(self.folder) / f'{self.name}.log', 'wb')
        command = role['run'].split()
        self.process = subprocess.Popen(
            [sys.executable, *command[1:]], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            env={'PATH': os.environ.get('PATH', ''), 'HOME': os.environ.get('HOME', '/'), 'LANG': 'C.UTF-8',
                 'PYTHONPATH': str(ROOT / 'target/deps'), 'NUTMEGSTEP_NODE_FILE': str(settings)})
        self.starts += 1
        self.record.write(f'machine {self.name} starts, process {self.process.pid}')

    def signal(self, number):
        self.record.write(f'machine {self.name} gets {signal.Signals(number).name}', show=True)
        self.process.send_signal(number)

    def anonymous_mb(self):
        """Memory of the process in MB, without what it shares with files."""
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'RssAnon:\s+(\d+) kB', text)
        return int(found[1]) * 1024 / 1e6 if found else 0

    async def is_ready(self):
        reply = await ask(self.ready, self.ip, '/v1/ready', '0', 1000)
        return reply is not None and reply.status == 200

    async def wait_ready(self, seconds=30):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def route(name, host, prefix, timeout_ms, target_ms, kind='idempotent', attempts=2, **more):
    return {'name': name, 'host': host, 'path_prefix': prefix, 'route_kind': kind, 'timeout_ms': timeout_ms,
            'target_latency_ms': target_ms, 'priority': 1, 'attempts': attempts, **more}


def service(name, max_connections):
    return {'name': name, 'health_path': '/health', 'max_connections': max_connections, 'protocol': 'h1',
            'tls': False, 'cold_s': 3.0, 'cold_per_s': 0.0}


def configuration(version, routes, services):
    return {'config_version': version, 'routes': routes, 'services': services,
            'limits': {'header_bytes': 16384, 'body_bytes': 262144, 'header_timeout_ms': 3000,
                       'idle_timeout_ms': 15000}}


def play(folder, case, limit_s=115):
    """Run `case(record, temporary folder, machines)`; end all that it started; exit."""
    record = Record(folder)
    machines, servers, code = [], [], COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        async def run():
            async with asyncio.timeout(limit_s):
                return await case(record, temporary, machines)
        try:
            code = asyncio.run(run())
        except Exception as error:
            record.write(f'could not run: {error!r}', show=True)
        finally:
            for machine in machines:
                machine.end()
            if code == COULD_NOT_RUN or os.environ.get('KEEP_LOGS'):
                for log in Path(temporary).glob('*.log'):
                    (Path(folder) / 'logs').mkdir(exist_ok=True)
                    (Path(folder) / 'logs' / log.name).write_bytes(log.read_bytes())
    record.write(f'exit {code}', show=True)
    sys.exit(code)
