"""Stand-in for a target, independent of sockets.

Models execution slots, a bounded queue, cold starts and injected faults.
"""

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
        """Prevent the call if it has not been made."""


CallLater = Callable[[float, Callable[['Job'], None], 'Job'], _Timer]
Reply = Callable[[HttpResponse | None], None]


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Limits and times of a target stand-in.

    Parameters
    ----------
    name : str
        Name of the target.
    domain : int
        Number of its failure domain, from 1.
    slots : int
        Maximum number of requests executed at the same time.
    cold_slots : int
        Number of requests, running and queued, that a cold target handles
        without slowing down or failing.
    connections : int
        Maximum number of open connections; further ones are reset.
    connect_seconds : float
        Delay of the first request on a new connection, in seconds.
    mean_seconds : float
        Mean of the gamma-distributed service time in seconds.
    one_way_seconds : float
        Network delay in each direction for requests from another failure
        domain, in seconds.
    warm_after : int
        Number of executed requests after which a cold target is warm.
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
        """Maximum number of requests that wait for a slot; more are shed."""
        return 2 * self.slots


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A shard request as a target receives it.

    Parameters
    ----------
    identifier : str
        Request identifier, which the answer repeats.
    shard : str
        Name of the shard.
    version : int
        Index version.
    body : bytes
        Content of the request.
    domain : int
        Number of the sender's failure domain; 0 if unknown.
    """

    identifier: str
    shard: str
    version: int
    body: bytes
    domain: int = 0


@dataclass(slots=True)
class TargetCounts:
    """Event counters of a target stand-in.

    Parameters
    ----------
    requests : int
        Requests received.
    executed : int
        Requests executed to the end.
    shed : int
        Requests refused because the queue was full.
    ended_early : int
        Executions stopped because the connection was closed.
    refused_connections : int
        Connections reset because the limit was reached.
    cold_peak : int
        Most requests, running and queued, in the latest cold phase.
    executions_by_marker : collections.Counter
        Executions of the requests whose body names a ``marker``.
    """

    requests: int = 0
    executed: int = 0
    shed: int = 0
    ended_early: int = 0
    refused_connections: int = 0
    cold_peak: int = 0
    executions_by_marker: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class Job:
    """A request that a target stand-in is handling.

    Parameters
    ----------
    request : TargetRequest
        The request.
    reply : Callable
        Takes the response, or None if the connection is to be reset.
    service_factor : float
        Factor on the service time.
    timer : optional
        Pending timer of the next state change.
    running : bool
        Whether the request occupies a slot.
    """

    request: TargetRequest
    reply: Reply
    service_factor: float = 1
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
        Names of the shards that the target holds, by index version.
    call_later : Callable, optional
        Timer function; by default that of the running event loop.
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
        self._warm_at_executions = 0
        self.boot_id = self._new_boot_id()

    def turn_cold(self, *, restarted: bool = False) -> None:
        """Make the target cold and reset the recorded peak.

        Parameters
        ----------
        restarted : bool, optional
            Whether the boot identifier changes, by which clients notice a
            restart.
        """
        self.cold = True
        self.counts.cold_peak = 0
        self._warm_at_executions = (
            self.counts.executed + self.settings.warm_after
        )
        if restarted:
            self.boot_id = self._new_boot_id()

    def submit(self, request: TargetRequest, reply: Reply) -> Job:
        """Handle a request; call `reply` once unless the job is cancelled."""
        job = Job(request, reply)
        self.counts.requests += 1
        self._call_after(job, _one_way_delay(self, request), self._arrive)
        return job

    def cancel(self, job: Job) -> None:
        """Stop handling a request whose connection was closed."""
        if job.timer is not None:
            job.timer.cancel()
        if job in self._waiting:
            self._waiting.remove(job)
        if job.running:
            self.counts.ended_early += 1
            self._release_slot(job)

    def _call_after(
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
        refusal = self._refusal(job)
        if refusal:
            self._answer(job, refusal)
        elif self.faults.consume('resets_before'):
            job.reply(None)
        elif self._running < self.settings.slots:
            self._start(job)
        else:
            self._waiting.append(job)

    def _refusal(self, job: Job) -> HttpResponse | None:
        request = job.request
        if self.faults.draining:
            return _failure(
                self,
                request,
                _STATUS_UNAVAILABLE,
                _NOT_EXECUTED,
                ('X-Draining', 'yes'),
            )
        shards = self.shards_by_version.get(request.version, frozenset())
        if request.shard not in shards:
            versions = _versions_with_shard(self, request.shard)
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
        return self._limit_cold_load(job) if self.cold else None

    def _limit_cold_load(self, job: Job) -> HttpResponse | None:
        load = self._running + len(self._waiting) + 1
        self.counts.cold_peak = max(self.counts.cold_peak, load)
        if load <= self.settings.cold_slots:
            return None
        job.service_factor = COLD_SLOW_FACTOR
        if self.faults.cold_fails:
            return _failure(self, job.request, _STATUS_ERROR)
        return None

    def _start(self, job: Job) -> None:
        job.running = True
        self._running += 1
        mean = self.settings.mean_seconds
        service = self._random.gammavariate(_GAMMA_SHAPE, mean / _GAMMA_SHAPE)
        service *= job.service_factor * self.faults.straggle_factor
        job.timer = self._call_later(service, self._finish, job)

    def _finish(self, job: Job) -> None:
        job.timer = None
        self._count_execution(job.request.body)
        self._release_slot(job)
        if self.faults.consume('resets_after'):
            job.reply(None)
            return
        self._answer(job, _result(self, job.request))

    def _count_execution(self, body: bytes) -> None:
        self.counts.executed += 1
        if self.cold and self.counts.executed >= self._warm_at_executions:
            self.cold = False
        if _MARKER in body:
            marker = str(orjson.loads(body)['marker'])
            self.counts.executions_by_marker[marker] += 1

    def _release_slot(self, job: Job) -> None:
        job.running = False
        self._running -= 1
        if self._waiting:
            self._start(self._waiting.popleft())

    def _answer(self, job: Job, response: HttpResponse) -> None:
        delay = _one_way_delay(self, job.request) + self.faults.late_seconds
        self._call_after(job, delay, lambda _: job.reply(response))

    def _new_boot_id(self) -> str:
        return f'{self.settings.name}-{self._random.getrandbits(32):08x}'


def _one_way_delay(target: TargetStandIn, request: TargetRequest) -> float:
    local = request.domain in {0, target.settings.domain}
    return 0 if local else target.settings.one_way_seconds


def _result(target: TargetStandIn, request: TargetRequest) -> HttpResponse:
    wrong = target.faults.consume('wrong_versions')
    crossed = target.faults.consume('wrong_identifiers')
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


def _versions_with_shard(target: TargetStandIn, shard: str) -> str:
    return ','.join(
        str(version)
        for version, shards in sorted(target.shards_by_version.items())
        if shard in shards
    )
