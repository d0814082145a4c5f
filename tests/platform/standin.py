"""Stand-ins for the operators' store and targets, after their documentation."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from itertools import count

import orjson

from nutmegstep.web import HttpRequest, HttpResponse, HttpServer, serve_http

_PAGE = 50


@dataclass(frozen=True)
class StoreCopy:
    """State of a store at one revision."""

    revision: int
    objects: dict[str, dict[str, dict[str, object]]]


class StoreStandIn:
    """Store in memory, with revisions, watches and outages."""

    def __init__(self) -> None:
        self.revision = 1
        self.is_away = False
        self.calls: list[str] = []
        self.first_revision = 0
        self.era = 1
        self._objects: dict[str, dict[str, dict[str, object]]] = {}
        self._events: list[tuple[int, str, dict[str, object], bool]] = []
        self._changed = asyncio.Event()
        self.http: HttpServer

    async def start(self, port: int = 0) -> str:
        """Listen on a port, any by default; return the address."""
        self.http = await serve_http(self._answer, '127.0.0.1', port)
        return '127.0.0.1:{0}'.format(self.http.sockets[0].getsockname()[1])

    def put(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object, as an operator or a target does."""
        self.revision += 1
        known = self._objects.setdefault(kind, {}).get(name)
        meta = {
            'name': name,
            'rev': self.revision,
            'create_rev': self.revision,
            'finalizers': [],
            'deletion_pending': False,
        }
        if known is not None:
            meta['create_rev'] = known['meta']['create_rev']  # type: ignore[index]
        written = {'meta': meta, 'spec': spec, 'status': None}
        self._objects[kind][name] = written
        self._note(kind, written, is_deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        removed = self._objects.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            self._note(kind, removed, is_deleted=True)

    def forget_history(self) -> None:
        """Discard the history, so that watches must list again."""
        self.first_revision = self.revision
        self._events.clear()

    def copy(self) -> 'StoreCopy':
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            self.revision,
            {kind: dict(by_name) for kind, by_name in self._objects.items()},
        )

    def restore(self, copied: 'StoreCopy') -> None:
        """Lose all that was written after a copy was made.

        The next revisions are those that were given out after the copy.
        """
        self.era += 1
        self.revision = copied.revision
        self._objects = {
            kind: dict(by_name) for kind, by_name in copied.objects.items()
        }
        self._events = [
            event for event in self._events if event[0] <= copied.revision
        ]
        self._wake_watches()

    def go_away(self) -> None:
        """Answer with errors from now on, waiting watches included."""
        self.is_away = True
        self._wake_watches()

    def names(self, kind: str) -> set[str]:
        """Return the names of a kind's objects."""
        return set(self._objects.get(kind, {}))

    def spec_of(self, kind: str, name: str) -> object:
        """Return what an object holds."""
        return self._objects[kind][name]['spec']

    def _note(
        self,
        kind: str,
        changed: dict[str, object],
        is_deleted: bool,
    ) -> None:
        self._events.append((self.revision, kind, changed, is_deleted))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        response = await self._answer_in_era(request)
        era = ('Store-Era', str(self.era))
        return replace(response, headers=(*response.headers, era))

    async def _answer_in_era(self, request: HttpRequest) -> HttpResponse:
        self.calls.append(f'{request.method} {request.path}')
        if self.is_away:
            return HttpResponse(503, b'{}')
        kind, _, name = request.path.removeprefix('/v1/objects/').partition('/')
        if request.method == 'POST':
            return self._create(kind, orjson.loads(request.body))
        if request.method == 'PUT':
            return self._replace(kind, name, orjson.loads(request.body))
        if request.method == 'DELETE':
            self.delete(kind, name)
            return HttpResponse(200, b'{}')
        if 'watch' in request.query:
            return await self._watch(kind, request)
        return self._list(kind, request.query.get('after', ''))

    def _create(self, kind: str, document: dict[str, object]) -> HttpResponse:
        name = str(document['meta']['name'])  # type: ignore[index]
        if name in self.names(kind):
            return HttpResponse(409, b'{}')
        self.put(kind, name, document['spec'])
        return HttpResponse(200, b'{}')

    def _replace(
        self,
        kind: str,
        name: str,
        document: dict[str, object],
    ) -> HttpResponse:
        if name not in self.names(kind):
            return HttpResponse(404, b'{}')
        self.put(kind, name, document['spec'])
        return HttpResponse(200, b'{}')

    def _list(self, kind: str, after: str) -> HttpResponse:
        objects = self._objects.get(kind, {})
        names = [name for name in sorted(objects) if name > after]
        page = {
            'items': [objects[name] for name in names[:_PAGE]],
            'more': len(names) > _PAGE,
            'at': self.revision,
        }
        return HttpResponse(200, orjson.dumps(page))

    async def _watch(self, kind: str, request: HttpRequest) -> HttpResponse:
        since = int(request.query['watch'])
        era = self.era
        if since < self.first_revision or since > self.revision:
            return HttpResponse(410, b'{}')
        loop = asyncio.get_running_loop()
        ends = loop.time() + int(request.query['wait_ms']) / 1000
        found = self._changes(kind, since)
        while not found and loop.time() < ends:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(),
                    ends - loop.time(),
                )
            if self.is_away:
                return HttpResponse(503, b'{}')
            if since < self.first_revision or era != self.era:
                return HttpResponse(410, b'{}')
            found = self._changes(kind, since)
        reply = {'events': found, 'at': self.revision}
        return HttpResponse(200, orjson.dumps(reply))

    def _changes(self, kind: str, since: int) -> list[dict[str, object]]:
        return [
            {'object': changed, 'deleted': is_deleted}
            for at, of_kind, changed, is_deleted in self._events
            if of_kind == kind and at > since
        ]


@dataclass
class Seen:
    """A request that a target received.

    A script that turns it away sets `was_run` to False.
    """

    head: bytes
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    was_run: bool = True


_Answer = Callable[[Seen], bytes]


def respond(
    body: bytes = b'r' * 16,
    status: int = 200,
    headers: str = '',
) -> _Answer:
    """Return a function that answers with a signature and the attempt id."""
    numbers = count(1)

    def answer(seen: Seen) -> bytes:
        caller = seen.headers.get('x-nutmegstep-attempt-id', '')
        head = (
            f'HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n'
            f'x-nutmegstep-attempt-id: {caller}\r\n'
            f'x-nutmegstep-server-stamp: s{next(numbers)}.{caller}\r\n'
            f'{headers}\r\n'
        )
        return head.encode() + body

    return answer


def turn_away(headers: str) -> _Answer:
    """Return a function that answers 503 to a request that it does not run."""
    answer = respond(b'', 503, f'x-nutmegstep-not-executed: 1\r\n{headers}')

    def refuse(seen: Seen) -> bytes:
        seen.was_run = False
        return answer(seen)

    return refuse


class TargetStandIn:
    """HTTP server whose `script` returns the bytes of each response.

    An empty response closes the connection. Without a script the server reads
    the request and never answers.
    """

    def __init__(self, script: _Answer | None = None) -> None:
        self.script = script
        self.seen: list[Seen] = []
        self.connections = 0
        self.disconnects = 0
        self.closes_after_answer = False
        self.address = ('127.0.0.1', 0)
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Refuse further connections."""
        self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        try:
            await self._serve_requests(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnects += 1
        finally:
            writer.close()

    async def _serve_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            lines = head.decode().split('\r\n')
            pairs = (line.split(': ', 1) for line in lines[1:] if line)
            headers = {name.lower(): text for name, text in pairs}
            length = int(headers.get('content-length', '0'))
            seen = Seen(head, await reader.readexactly(length), headers)
            self.seen.append(seen)
            if self.script is None:
                await reader.read(1)
                raise ConnectionResetError
            answer = self.script(seen)
            writer.write(answer)
            await writer.drain()
            if not answer or self.closes_after_answer:
                return


def note_times(target: TargetStandIn, answer: _Answer) -> list[float]:
    """Let a target answer; return the monotonic times of its requests."""
    times: list[float] = []

    def note(seen: Seen) -> bytes:
        times.append(time.monotonic())
        return answer(seen)

    target.script = note
    return times


def most_in_window(
    times: list[float], adapt_seconds: float, window_seconds: float
) -> int:
    """Return the most requests in any window after a time to adapt."""
    counted = [at for at in times if at > times[0] + adapt_seconds]
    return max(
        (
            sum(start <= at < start + window_seconds for at in counted)
            for start in counted
        ),
        default=0,
    )


def crash_on(target: TargetStandIn, body: bytes) -> None:
    """Let a target end when it reads a request with this body."""
    answer = respond()

    def crash(seen: Seen) -> bytes:
        if seen.body != body:
            return answer(seen)
        target.stop()
        return b''

    target.script = crash
