"""Load generator with open-loop arrivals or closed-loop callers."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Final

from hdrh.histogram import HdrHistogram

from nutmegstep.measure.answer_check import (
    find_answer_fault,
    is_complete,
    read_document,
)
from nutmegstep.measure.connection import CallerPool, CallerReply

__all__ = [
    'CALLER_ONE_WAY_SECONDS',
    'Generator',
    'LoadResult',
    'run_closed_loop',
    'run_open_loop',
]

#: Network delay from a caller to an entry process, added to the latencies.
CALLER_ONE_WAY_SECONDS: Final = 0.003
_ROUND_TRIP_SECONDS: Final = 2 * CALLER_ONE_WAY_SECONDS
_MICROSECONDS: Final = 1_000_000
_MAX_LATENCY_US: Final = 60_000_000
_STATUS_OK: Final = 200


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_LATENCY_US, 3)


@dataclass(slots=True)
class LoadResult:
    """Replies that callers received.

    Parameters
    ----------
    seconds : float
        Length of the load.
    whole, partial : int
        Number of answers that cover all shards and of those that do not.
    refused_by_reason : Counter
        Number of refusals by reason.
    incorrect_by_fault : Counter
        Number of answers with wrong content, by fault; reported as "untrue".
    given_up : int
        Number of callers that stopped retrying.
    cut_off : int
        Number of callers that still waited when the load ended.
    latency : HdrHistogram
        Latencies of the whole answers in microseconds.
    """

    seconds: float = 0
    whole: int = 0
    partial: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    incorrect_by_fault: Counter[str] = field(default_factory=Counter)
    given_up: int = 0
    cut_off: int = 0
    latency: HdrHistogram = field(default_factory=_histogram)

    @property
    def attempts(self) -> int:
        """Number of replies of every kind."""
        refused = self.refused_by_reason.total()
        return self.whole + self.partial + refused

    @property
    def goodput(self) -> float:
        """Whole answers per second."""
        return self.whole / self.seconds if self.seconds else 0

    @property
    def whole_share(self) -> float:
        """Share of whole answers among all replies."""
        return self.whole / self.attempts if self.attempts else 0

    def add(self, other: 'LoadResult') -> None:
        """Add the replies of a later part of the same load."""
        self.seconds += other.seconds
        self.whole += other.whole
        self.partial += other.partial
        self.refused_by_reason += other.refused_by_reason
        self.incorrect_by_fault += other.incorrect_by_fault
        self.given_up += other.given_up
        self.cut_off += other.cut_off
        self.latency.add(other.latency)

    def quantile_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return float(self.latency.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True)
class Generator:
    """Load generator: callers of the entry processes of one side.

    Parameters
    ----------
    pools : Sequence of CallerPool
        Connections of callers, one pool for each entry process.
    shards_by_version : Mapping
        Names of the shards of the service in each index version.
    random : random.Random
        Source of the arrival times.
    request_ids : Iterator of int
        Source of the request identifiers.
    """

    pools: Sequence[CallerPool]
    shards_by_version: Mapping[int, frozenset[str]]
    random: Random
    request_ids: Iterator[int] = field(
        default_factory=lambda: itertools.count(1),
    )

    def remove_domain(self, domain: int) -> None:
        """Send no more queries to the entry processes of a failure domain."""
        self.pools = tuple(
            pool for pool in self.pools if pool.entry.domain != domain
        )

    async def send_query(self, result: LoadResult, due: float) -> bool:
        """Send one query; return whether a whole answer came.

        Parameters
        ----------
        result : LoadResult
            Counts the reply.
        due : float
            Instant of `time.perf_counter` at which the query should be sent.
            Latencies count from it, so that they include the delay of an
            overloaded generator.
        """
        request_id = next(self.request_ids)
        pool = self.pools[request_id % len(self.pools)]
        body = b'{"text": "q-%d"}' % request_id
        reply = await pool.query(request_id, body)
        elapsed = time.perf_counter() - due + _ROUND_TRIP_SECONDS
        whole = self._count(result, reply, request_id, body)
        if whole:
            micros = min(int(elapsed * _MICROSECONDS), _MAX_LATENCY_US)
            result.latency.record_value(micros)
        return whole

    def _count(
        self,
        result: LoadResult,
        reply: CallerReply,
        request_id: int,
        body: bytes,
    ) -> bool:
        document = read_document(reply.body)
        if reply.status != _STATUS_OK:
            reason = document.get('reason', f'status {reply.status}')
            result.refused_by_reason[reason] += 1
            return False
        fault = find_answer_fault(
            document,
            request_id,
            body,
            self.shards_by_version,
        )
        if fault:
            result.incorrect_by_fault[fault] += 1
        whole = is_complete(document)
        result.whole += whole
        result.partial += not whole
        return whole


async def run_open_loop(
    generator: Generator,
    rate: float,
    seconds: float,
    retry_seconds: float = 0,
) -> LoadResult:
    """Send queries at random times that do not depend on the replies.

    Callers that retry and still wait at the end are cut off: later answers
    would count as goodput although the load has ended.

    Parameters
    ----------
    generator : Generator
        Load generator that sends the queries.
    rate : float
        Mean number of arrivals per second; the times between them have an
        exponential distribution.
    seconds : float
        Time in which queries arrive.
    retry_seconds : float
        Time for which a caller retries immediately after a failure; 0 for no
        retry.

    Returns
    -------
    LoadResult
        Replies of the queries that arrived.
    """
    result = LoadResult(seconds=seconds)
    started = time.perf_counter()
    due = started
    tasks: list[asyncio.Task[None]] = []
    while True:
        due += generator.random.expovariate(rate)
        if due >= started + seconds:
            break
        await asyncio.sleep(max(0, due - time.perf_counter()))
        tasks.append(
            asyncio.create_task(
                _retry_until_whole(generator, result, due, retry_seconds),
            ),
        )
    if retry_seconds:
        await asyncio.sleep(max(0, started + seconds - time.perf_counter()))
        result.cut_off = sum(task.cancel() for task in tasks)
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    for failure in outcomes:
        # Callers that were cut off return a CancelledError, which is no
        # Exception.
        if isinstance(failure, Exception):
            raise failure
    return result


async def _retry_until_whole(
    generator: Generator,
    result: LoadResult,
    due: float,
    retry_seconds: float,
) -> None:
    first = due
    while not await generator.send_query(result, due):
        if time.perf_counter() - first >= retry_seconds:
            result.given_up += 1
            return
        await asyncio.sleep(_ROUND_TRIP_SECONDS)
        due = time.perf_counter()


async def run_closed_loop(
    generator: Generator,
    callers: int,
    seconds: float,
) -> LoadResult:
    """Run a fixed number of callers that each send a query after each reply.

    Parameters
    ----------
    generator : Generator
        Load generator that sends the queries.
    callers : int
        Number of queries in flight at the same time.
    seconds : float
        Time in which queries are sent.

    Returns
    -------
    LoadResult
        Replies of all queries.
    """
    result = LoadResult()
    started = time.perf_counter()

    async def call() -> None:
        while time.perf_counter() < started + seconds:
            await generator.send_query(result, time.perf_counter())
            await asyncio.sleep(_ROUND_TRIP_SECONDS)

    await asyncio.gather(*(call() for _ in range(callers)))
    result.seconds = time.perf_counter() - started
    return result
