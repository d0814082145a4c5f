"""Sends queries to the entry processes of the demonstration.

Prints how many were answered, their coverage and percentiles of the latency.
"""

import argparse
import asyncio
import time
from pathlib import Path

import orjson
from hdrh.histogram import HdrHistogram

from nutmegstep.demo.client import post

__all__ = ['main']

_QUERY_PATH = '/v1/services/all-records/query'
_STATUS_OK = 200
_WARM_ROUNDS = 100
_WARM_UP_PAUSE_SECONDS = 0.01
_WARM_UP_TIMEOUT_SECONDS = 45
_QUERIES = 400
_CONCURRENCY = 4
_US_PER_SECOND = 1_000_000
_MAX_LATENCY_US = 10_000_000


async def _run(directory: Path) -> None:
    addresses = [
        path.read_text() for path in sorted(directory.glob('entry-*.port'))
    ]
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    limit = asyncio.Semaphore(_CONCURRENCY)

    async def send_query(number: int) -> tuple[int, bytes]:
        async with limit:
            started = time.perf_counter()
            reply = await post(
                addresses[number % len(addresses)],
                _QUERY_PATH,
                b'{"text": "shade"}',
            )
            elapsed = time.perf_counter() - started
            histogram.record_value(int(elapsed * _US_PER_SECOND))
            return reply

    warm_up_seconds = await _warm_up(addresses)
    replies = await asyncio.gather(*map(send_query, range(_QUERIES)))
    answers = [
        orjson.loads(body) for status, body in replies if status == _STATUS_OK
    ]
    complete = sum(answer['complete'] for answer in answers)
    first = answers[0]
    print(f'entry processes: {", ".join(addresses)}')
    print(f'cold targets warmed up in {warm_up_seconds:.1f} s')
    print(f'queries: {_QUERIES}, answered: {len(answers)}')
    print(f'complete answers: {complete}')
    print(f'shards covered: {len(first["covered"])}')
    versions = sorted({answer['index_version'] for answer in answers})
    print(f'index versions: {versions}')
    for percentile in (50, 99, 99.9):
        latency_us = histogram.get_value_at_percentile(percentile)
        print(f'p{percentile:g}: {latency_us / 1000:.1f} ms')


async def _warm_up(addresses: list[str]) -> float:
    """Send queries until the targets are warm; return the time in seconds.

    A new entry process sends nothing to cold targets for 5 s, then it raises
    the load of each target in steps. Until then queries may be refused. The
    targets count as warm after 100 consecutive rounds in which every entry
    process answered.

    Raises
    ------
    TimeoutError
        The targets are not warm after 45 s.
    """
    started = time.perf_counter()
    answered_rounds = 0
    while answered_rounds < _WARM_ROUNDS:
        replies = await asyncio.gather(
            *(post(address, _QUERY_PATH, b'{}') for address in addresses),
        )
        answered = all(status == _STATUS_OK for status, _ in replies)
        answered_rounds = answered_rounds + 1 if answered else 0
        await asyncio.sleep(_WARM_UP_PAUSE_SECONDS)
        if time.perf_counter() - started > _WARM_UP_TIMEOUT_SECONDS:
            raise TimeoutError(
                f'targets not warm after {_WARM_UP_TIMEOUT_SECONDS} s'
            )
    return time.perf_counter() - started


def main() -> None:
    """Parse the command line and run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--directory', type=Path, required=True)
    asyncio.run(_run(parser.parse_args().directory))


if __name__ == '__main__':
    main()
