"""Stand-in for a target: slots, queue, cold start and faults."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Final, Protocol

import orjson
import xxhash

from nutmegstep.standins.faults import COLD_SLOW_FACTOR, TargetFaults
from nutmegstep.web import HttpResponse

__all__ = [
    'Job',
    'TargetCounts',
    'TargetRequest',
    'TargetSettings',
    'TargetStandIn',
]

_GAMMA_SHAPE: Final = 4
_NOT_EXECUTED: Final = ('X-Executed', 'no')
_MARKER: Final = b'"marker"'
_STATUS_OK: Final = 200
_STATUS_CONFLICT: Final = 409
_STATUS_ERROR: Final = 500
_STATUS_UNAVAILABLE: Final = 503


class _Timer(Protocol):
    def cancel(self) -> None:
        """Forget the call."""


CallLater = Callable[[float, Callable[['Job'], None], 'Job'], _Timer]
Reply = Callable[[HttpResponse | None], None]


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Limits and times of a target.

    Parameters
    ----------
    name : str
        Name of the target.
    domain : int
        Number of its failure domain, from 1.
    slots : int
        Requests executed at the same time.
    cold_slots : int
        The same that a cold target bears.
    connections : int
        Most open connections; more are closed at once.
    connect_seconds : float
        Delay of the first request on a new connection.
    mean_seconds : float
        Mean of the gamma-distributed service time.
    one_way_seconds : float
        Delay each way for requests from another failure domain.
    warm_after : int
        Executed requests that end a cold start.
    """

    name: str
    domain: int = 1
    slots: int = 3
    cold_slots: int = 1
    connections: int = 30
    connect_seconds: float = 0
    mean_seconds: float = 0.006
    one_way_seconds: float = 0
    warm_after: int = 50

    @property
    def queue_length(self) -> int:
        """Requests that wait for a slot before more are shed."""
        return 2 * self.slots


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A shard request; `domain` is that of the entry process, 0 if unknown."""

    identifier: str
    shard: str
    version: int
    body: bytes
    domain: int = 0


@dataclass(slots=True)
class TargetCounts:
    """What a target has seen."""

    requests: int = 0
    executed: int = 0
    shed: int = 0
    ended_early: int = 0
    refused_connections: int = 0
    cold_peak: int = 0
    executions_by_marker: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class Job:
    """One request at the stand-in; `reply` takes None for a reset."""

    request: TargetRequest
    reply: Reply
    slow: float = 1
    timer: _Timer | None = None
    running: bool = False


class TargetStandIn:
    """Executes shard requests after a random service time.

    Parameters
    ----------
    settings : TargetSettings
        Limits and times.
    random : random.Random
        Source of service times and boot identifiers.
    shards_by_version : Mapping
        Names of the shards that the target holds of each index version.
    call_later : Callable, optional
        Timer function; the event loop's by default.
    """

    def __init__(
        self,
        settings: TargetSettings,
        random: Random,
        shards_by_version: Mapping[int, frozenset[str]],
        call_later: CallLater | None = None,
    ) -> None:
        self.settings = settings
        self.faults = TargetFaults()
        self.counts = TargetCounts()
        self.shards_by_version = dict(shards_by_version)
        self.cold = False
        self._random = random
        self._call_later = call_later or asyncio.get_running_loop().call_later
        self._waiting: deque[Job] = deque()
        self._running = 0
        self._warm_at = 0
        self.boot_id = self._new_boot_id()

    def turn_cold(self, *, restarted: bool = False) -> None:
        """Start bearing only the cold slots, by default without notice.

        The recorded peak is that of the latest cold phase.
        """
        self.cold = True
        self.counts.cold_peak = 0
        self._warm_at = self.counts.executed + self.settings.warm_after
        if restarted:
            self.boot_id = self._new_boot_id()

    def submit(self, request: TargetRequest, reply: Reply) -> Job:
        """Take a request; `reply` is called once unless it is cancelled."""
        job = Job(request, reply)
        self.counts.requests += 1
        self._delay(job, _one_way(self, request), self._arrive)
        return job

    def cancel(self, job: Job) -> None:
        """End the work of a request whose connection was closed."""
        if job.timer is not None:
            job.timer.cancel()
        if job in self._waiting:
            self._waiting.remove(job)
        if job.running:
            self.counts.ended_early += 1
            self._release(job)

    def _delay(
        self,
        job: Job,
        seconds: float,
        action: Callable[[Job], None],
    ) -> None:
        if seconds > 0:
            job.timer = self._call_later(seconds, action, job)
        else:
            action(job)

    def _arrive(self, job: Job) -> None:
        job.timer = None
        refusal = self._refuse(job)
        if refusal:
            self._answer(job, refusal)
        elif self.faults.take('resets_before'):
            job.reply(None)
        elif self._running < self.settings.slots:
            self._start(job)
        else:
            self._waiting.append(job)

    def _refuse(self, job: Job) -> HttpResponse | None:
        request = job.request
        if self.faults.draining:
            return _failure(
                self,
                request,
                _STATUS_UNAVAILABLE,
                _NOT_EXECUTED,
                ('X-Draining', 'yes'),
            )
        held = self.shards_by_version.get(request.version, frozenset())
        if request.shard not in held:
            versions = _held_versions(self, request.shard)
            return _failure(
                self,
                request,
                _STATUS_CONFLICT,
                _NOT_EXECUTED,
                ('Index-Versions', versions),
            )
        if len(self._waiting) >= self.settings.queue_length:
            self.counts.shed += 1
            return _failure(self, request, _STATUS_UNAVAILABLE, _NOT_EXECUTED)
        return self._bear_cold(job) if self.cold else None

    def _bear_cold(self, job: Job) -> HttpResponse | None:
        load = self._running + len(self._waiting) + 1
        self.counts.cold_peak = max(self.counts.cold_peak, load)
        if load <= self.settings.cold_slots:
            return None
        job.slow = COLD_SLOW_FACTOR
        if self.faults.cold_fails:
            return _failure(self, job.request, _STATUS_ERROR)
        return None

    def _start(self, job: Job) -> None:
        job.running = True
        self._running += 1
        mean = self.settings.mean_seconds
        service = self._random.gammavariate(_GAMMA_SHAPE, mean / _GAMMA_SHAPE)
        service *= job.slow * self.faults.straggle_factor
        job.timer = self._call_later(service, self._finish, job)

    def _finish(self, job: Job) -> None:
        job.timer = None
        self._count_execution(job.request.body)
        self._release(job)
        if self.faults.take('resets_after'):
            job.reply(None)
            return
        self._answer(job, _result(self, job.request))

    def _count_execution(self, body: bytes) -> None:
        self.counts.executed += 1
        if self.cold and self.counts.executed >= self._warm_at:
            self.cold = False
        if _MARKER in body:
            marker = str(orjson.loads(body)['marker'])
            self.counts.executions_by_marker[marker] += 1

    def _release(self, job: Job) -> None:
        job.running = False
        self._running -= 1
        if self._waiting:
            self._start(self._waiting.popleft())

    def _answer(self, job: Job, response: HttpResponse) -> None:
        delay = _one_way(self, job.request) + self.faults.late_seconds
        self._delay(job, delay, lambda _: job.reply(response))

    def _new_boot_id(self) -> str:
        return f'{self.settings.name}-{self._random.getrandbits(32):08x}'


def _one_way(target: TargetStandIn, request: TargetRequest) -> float:
    local = request.domain in {0, target.settings.domain}
    return 0 if local else target.settings.one_way_seconds


def _result(target: TargetStandIn, request: TargetRequest) -> HttpResponse:
    wrong = target.faults.take('wrong_versions')
    crossed = target.faults.take('wrong_identifiers')
    document = {
        'target': target.settings.name,
        'shard': request.shard,
        'version': request.version,
        'digest': xxhash.xxh3_64_hexdigest(request.body),
    }
    return HttpResponse(
        _STATUS_OK,
        orjson.dumps(document),
        (
            ('X-Request-Id', f'{request.identifier}{"0" * crossed}'),
            ('X-Boot-Id', target.boot_id),
            ('Index-Version', str(request.version + wrong)),
        ),
    )


def _failure(
    target: TargetStandIn,
    request: TargetRequest,
    status: int,
    *headers: tuple[str, str],
) -> HttpResponse:
    echo = (
        ('X-Request-Id', request.identifier),
        ('X-Boot-Id', target.boot_id),
    )
    return HttpResponse(status, b'{}', (*echo, *headers))


def _held_versions(target: TargetStandIn, shard: str) -> str:
    return ','.join(
        str(version)
        for version, shards in sorted(target.shards_by_version.items())
        if shard in shards
    )
