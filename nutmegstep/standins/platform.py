"""Stand-in for the object API of the platform, with fault injection."""

import asyncio
import enum
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field, replace

import orjson

from nutmegstep.clock import Clock, SystemClock
from nutmegstep.platform_api import CallKind, VmRecord
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['Outage', 'PlatformFaults', 'PlatformStandIn']

_PREFIX = '/objects/'
_MAX_VALUE_BYTES = 1_000_000
_DEFAULT_WATCH_TIMEOUT_MS = 30_000
_MS_PER_SECOND = 1000
_LAG_POLL_SECONDS = 0.01
_PRECONDITION_FAILED = 412
# Values of each object that stay readable through `PlatformFaults.older_by`.
# Claim journals are rewritten many times a second and may reach a megabyte,
# so the content of older values is dropped to bound the memory.
_RETAINED_VALUES = 4


@enum.unique
class Outage(enum.Enum):
    """How the platform fails to answer calls.

    `ERRORS` answers every call with status 503; `SILENT` never answers.
    """

    NONE = 'none'
    ERRORS = 'errors'
    SILENT = 'silent'


@dataclass(slots=True)
class PlatformFaults:
    """Faults of the platform stand-in; each may be changed at any time.

    Parameters
    ----------
    outage : Outage
        Whether calls are answered, fail with status 503 or get no answer.
    delay : float
        Seconds before each call is handled.
    lose_answers : int
        Number of coming writes that take effect but are never answered.
    watch_lag : float
        Seconds after which a watch reports a change.
    list_lag : float
        Seconds after which the VM list shows a change.
    older_by : int
        Number of writes by which the values that reads return are older than
        the newest; values above 3 count as 3.
    """

    outage: Outage = Outage.NONE
    delay: float = 0
    lose_answers: int = 0
    watch_lag: float = 0
    list_lag: float = 0
    older_by: int = 0


@dataclass(frozen=True, slots=True)
class _StoredValue:
    revision: int
    document: bytes | None
    written_at: float

    @property
    def version(self) -> str:
        return '' if self.document is None else f'"{self.revision}"'


@dataclass(frozen=True, slots=True)
class _VmList:
    set_at: float
    vms: tuple[VmRecord, ...]


@dataclass(slots=True)
class _Counts:
    since: float
    by_kind: Counter[CallKind] = field(default_factory=Counter)


class PlatformStandIn:
    """In-memory object store with versions and conditional writes.

    Parameters
    ----------
    clock : Clock, optional
        Clock for the lags and call rates; the system clock by default.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.faults = PlatformFaults()
        self._clock = clock or SystemClock()
        self._revision = 0
        self._history_by_name: dict[str, list[_StoredValue]] = {}
        self._vm_lists = [_VmList(float('-inf'), ())]
        self._counts = _Counts(self._clock.monotonic())
        self._changed = asyncio.Event()

    @property
    def calls_by_kind(self) -> Counter[CallKind]:
        """Number of calls of each kind since the last `reset_counts`."""
        return self._counts.by_kind

    def rate_by_kind(self) -> dict[CallKind, float]:
        """Return the calls per second of each kind since `reset_counts`."""
        elapsed = self._clock.monotonic() - self._counts.since
        return {
            kind: calls / elapsed if elapsed else float(0)
            for kind, calls in self._counts.by_kind.items()
        }

    def reset_counts(self) -> None:
        """Reset the call counts and the interval of the rates."""
        self._counts = _Counts(self._clock.monotonic())

    def set_vms(self, vms: Sequence[VmRecord]) -> None:
        """Replace the list of VMs; it shows after `PlatformFaults.list_lag`."""
        self._vm_lists.append(_VmList(self._clock.monotonic(), tuple(vms)))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one call of the object API.

        Never returns if a fault suppresses the answer.
        """
        kind = _call_kind(request)
        if kind is None:
            return HttpResponse(404)
        self._counts.by_kind[kind] += 1
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.outage is Outage.ERRORS:
            return HttpResponse(503)
        if self.faults.outage is Outage.SILENT:
            await asyncio.Event().wait()
        return await self._answer(kind, request)

    async def _answer(
        self,
        kind: CallKind,
        request: HttpRequest,
    ) -> HttpResponse:
        if kind is CallKind.WATCH:
            return await self._watch(request)
        if kind is CallKind.VMS:
            return self._vms()
        name = request.path.removeprefix(_PREFIX)
        if kind is CallKind.GET:
            return self._get(name)
        response = self._write(name, kind, request)
        if response.status != _PRECONDITION_FAILED and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await asyncio.Event().wait()
        return response

    def _get(self, name: str) -> HttpResponse:
        history = self._history_by_name.get(name, [])
        older_by = min(self.faults.older_by, _RETAINED_VALUES - 1)
        position = max(0, len(history) - 1 - older_by)
        stored = next(iter(history[position:]), None)
        if stored is None or stored.document is None:
            return HttpResponse(404)
        return HttpResponse(200, stored.document, (('ETag', stored.version),))

    def _write(
        self,
        name: str,
        kind: CallKind,
        request: HttpRequest,
    ) -> HttpResponse:
        history = self._history_by_name.get(name, [])
        current = history[-1].version if history else ''
        expected = request.headers.get('if-match', current)
        creates = request.headers.get('if-none-match') == '*'
        if expected != current or (creates and current):
            return HttpResponse(_PRECONDITION_FAILED)
        if kind is CallKind.DELETE:
            if not current:
                return HttpResponse(404)
            self._store(name, None)
            return HttpResponse(200)
        if len(request.body) > _MAX_VALUE_BYTES:
            return HttpResponse(413)
        stored = self._store(name, request.body)
        return HttpResponse(200, b'', (('ETag', stored.version),))

    def _store(self, name: str, document: bytes | None) -> _StoredValue:
        self._revision += 1
        stored = _StoredValue(self._revision, document, self._clock.monotonic())
        history = self._history_by_name.setdefault(name, [])
        history.append(stored)
        dropped = len(history) - _RETAINED_VALUES - 1
        if dropped >= 0 and history[dropped].document:
            history[dropped] = replace(history[dropped], document=b'')
        self._changed.set()
        self._changed = asyncio.Event()
        return stored

    async def _watch(self, request: HttpRequest) -> HttpResponse:
        names = request.query.get('names', '').split(',')
        since = int(request.query.get('since', '0'))
        timeout_seconds = (
            int(request.query.get('timeout_ms', _DEFAULT_WATCH_TIMEOUT_MS))
            / _MS_PER_SECOND
        )
        try:
            async with asyncio.timeout(timeout_seconds):
                changed = await self._wait_for_change(names, since)
        except TimeoutError:
            changed = []
        document = {
            'revision': max(
                [since, *(stored.revision for _, stored in changed)]
            ),
            'changed': [
                {'name': name, 'version': stored.version}
                for name, stored in changed
            ],
        }
        return HttpResponse(200, orjson.dumps(document))

    async def _wait_for_change(
        self,
        names: Sequence[str],
        since: int,
    ) -> list[tuple[str, _StoredValue]]:
        while True:
            changed = self._visible_changes(names, since)
            if changed:
                return changed
            if self.faults.watch_lag:
                await asyncio.sleep(_LAG_POLL_SECONDS)
            else:
                await self._changed.wait()

    def _visible_changes(
        self,
        names: Sequence[str],
        since: int,
    ) -> list[tuple[str, _StoredValue]]:
        latest = self._clock.monotonic() - self.faults.watch_lag
        newest_by_name = {
            name: stored
            for name in names
            for stored in self._history_by_name.get(name, [])
            if stored.written_at <= latest
        }
        return [
            (name, stored)
            for name, stored in newest_by_name.items()
            if stored.revision > since
        ]

    def _vms(self) -> HttpResponse:
        latest = self._clock.monotonic() - self.faults.list_lag
        visible = [
            vm_list for vm_list in self._vm_lists if vm_list.set_at <= latest
        ]
        records = [asdict(vm) for vm in visible[-1].vms]
        return HttpResponse(200, orjson.dumps(records))


def _call_kind(request: HttpRequest) -> CallKind | None:
    if request.path == '/watch':
        return CallKind.WATCH
    if request.path == '/vms':
        return CallKind.VMS
    if not request.path.startswith(_PREFIX):
        return None
    return {
        'GET': CallKind.GET,
        'PUT': CallKind.PUT,
        'DELETE': CallKind.DELETE,
    }.get(request.method)
