"""Open-loop arrivals and closed-loop callers."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Final

from hdrh.histogram import HdrHistogram

from nutmegstep.measure.connection import CallerPool, CallerReply
from nutmegstep.measure.truth import find_untruth, is_complete, read_document

__all__ = [
    'CALLER_ONE_WAY_SECONDS',
    'Generator',
    'LoadResult',
    'run_closed_loop',
    'run_open_loop',
]

#: Simulated delay between a caller and the entry processes.
CALLER_ONE_WAY_SECONDS: Final = 0.003
_ROUND_TRIP_SECONDS: Final = 2 * CALLER_ONE_WAY_SECONDS
_MICROSECONDS: Final = 1_000_000
_LONGEST_US: Final = 60_000_000
_STATUS_OK: Final = 200


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _LONGEST_US, 3)


@dataclass(slots=True)
class LoadResult:
    """What callers saw."""

    seconds: float = 0
    whole: int = 0
    partial: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    untrue_by_fault: Counter[str] = field(default_factory=Counter)
    given_up: int = 0
    cut_off: int = 0
    latency: HdrHistogram = field(default_factory=_histogram)

    @property
    def attempts(self) -> int:
        """Replies of every kind."""
        refused = self.refused_by_reason.total()
        return self.whole + self.partial + refused

    @property
    def goodput(self) -> float:
        """Whole answers a second."""
        return self.whole / self.seconds if self.seconds else 0

    @property
    def whole_share(self) -> float:
        """Whole answers among all replies."""
        return self.whole / self.attempts if self.attempts else 0

    def include(self, other: 'LoadResult') -> None:
        """Add what callers saw in a later stretch of the same load."""
        self.seconds += other.seconds
        self.whole += other.whole
        self.partial += other.partial
        self.refused_by_reason += other.refused_by_reason
        self.untrue_by_fault += other.untrue_by_fault
        self.given_up += other.given_up
        self.cut_off += other.cut_off
        self.latency.add(other.latency)

    def quantile_ms(self, percentile: float) -> float:
        """Return a latency quantile in milliseconds."""
        return float(self.latency.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True)
class Generator:
    """Callers of all entry processes.

    Parameters
    ----------
    pools : Sequence of CallerPool
        One for each entry process.
    shards_by_version : Mapping
        Shards of the service in each index version.
    random : random.Random
        Source of arrival times.
    """

    pools: Sequence[CallerPool]
    shards_by_version: Mapping[int, frozenset[str]]
    random: Random
    request_ids: Iterator[int] = field(
        default_factory=lambda: itertools.count(1),
    )

    def leave_domain(self, domain: int) -> None:
        """Send no further query to the entry processes of a domain."""
        self.pools = tuple(
            pool for pool in self.pools if pool.entry.domain != domain
        )

    async def ask(self, result: LoadResult, due: float) -> bool:
        """Send one query; return whether a whole answer came.

        `due` is the instant at which the caller wanted to send, so that a
        late generator adds to the latency instead of hiding it.
        """
        request_id = next(self.request_ids)
        pool = self.pools[request_id % len(self.pools)]
        body = b'{"text": "q-%d"}' % request_id
        reply = await pool.query(request_id, body)
        elapsed = time.perf_counter() - due + _ROUND_TRIP_SECONDS
        whole = self._count(result, reply, request_id, body)
        if whole:
            micros = min(int(elapsed * _MICROSECONDS), _LONGEST_US)
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
        fault = find_untruth(
            document,
            request_id,
            body,
            self.shards_by_version,
        )
        if fault:
            result.untrue_by_fault[fault] += 1
        whole = is_complete(document)
        result.whole += whole
        result.partial += not whole
        return whole


async def run_open_loop(
    generator: Generator,
    rate: float,
    seconds: float,
    patience_seconds: float = 0,
) -> LoadResult:
    """Send queries at random instants that do not depend on the replies.

    Callers with patience that still wait at the end are cut off: answers
    after the last arrival would count as goodput of a load that is over.

    Parameters
    ----------
    generator : Generator
        The callers.
    rate : float
        Mean arrivals a second; the gaps are exponential.
    seconds : float
        How long queries arrive.
    patience_seconds : float
        How long a caller retries at once after a failure; 0 for no retry.

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
                _call_until_whole(generator, result, due, patience_seconds),
            ),
        )
    if patience_seconds:
        await asyncio.sleep(max(0, started + seconds - time.perf_counter()))
        result.cut_off = sum(task.cancel() for task in tasks)
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    for failure in outcomes:
        # Cancellation is no Exception: callers that were cut off pass.
        if isinstance(failure, Exception):
            raise failure
    return result


async def _call_until_whole(
    generator: Generator,
    result: LoadResult,
    due: float,
    patience_seconds: float,
) -> None:
    first = due
    while not await generator.ask(result, due):
        if time.perf_counter() - first >= patience_seconds:
            result.given_up += 1
            return
        await asyncio.sleep(_ROUND_TRIP_SECONDS)
        due = time.perf_counter()


async def run_closed_loop(
    generator: Generator,
    callers: int,
    seconds: float,
) -> LoadResult:
    """Let a number of callers send the next query after each reply.

    Parameters
    ----------
    generator : Generator
        The callers.
    callers : int
        Queries in flight at the same time.
    seconds : float
        How long new queries start.

    Returns
    -------
    LoadResult
        Replies of all queries.
    """
    result = LoadResult()
    started = time.perf_counter()

    async def call() -> None:
        while time.perf_counter() < started + seconds:
            await generator.ask(result, time.perf_counter())
            await asyncio.sleep(_ROUND_TRIP_SECONDS)

    await asyncio.gather(*(call() for _ in range(callers)))
    result.seconds = time.perf_counter() - started
    return result
