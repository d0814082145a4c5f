"""Sends queries to the entry processes of the demonstration."""

import argparse
import asyncio
import time
from pathlib import Path

import orjson
from hdrh.histogram import HdrHistogram

from nutmegstep.demo.client import post

__all__ = ['main']

_PATH = '/v1/services/all-records/query'
_STATUS_OK = 200
_COMPLETE_IN_A_ROW = 100
_WARM_UP_PAUSE_SECONDS = 0.01
_WARM_UP_SECONDS = 45
_QUERIES = 400
_CONCURRENCY = 4
_MICROSECONDS = 1_000_000
_LONGEST_US = 10_000_000


async def _run(directory: Path) -> None:
    addresses = [
        path.read_text() for path in sorted(directory.glob('entry-*.port'))
    ]
    histogram = HdrHistogram(1, _LONGEST_US, 3)
    limit = asyncio.Semaphore(_CONCURRENCY)

    async def ask(number: int) -> tuple[int, bytes]:
        async with limit:
            started = time.perf_counter()
            reply = await post(
                addresses[number % len(addresses)],
                _PATH,
                b'{"text": "shade"}',
            )
            elapsed = time.perf_counter() - started
            histogram.record_value(int(elapsed * _MICROSECONDS))
            return reply

    waited = await _warm_up(addresses)
    replies = await asyncio.gather(*map(ask, range(_QUERIES)))
    answers = [
        orjson.loads(body) for status, body in replies if status == _STATUS_OK
    ]
    complete = sum(answer['complete'] for answer in answers)
    first = answers[0]
    print(f'entry processes: {", ".join(addresses)}')
    print(f'cold targets warmed up in {waited:.1f} s')
    print(f'queries: {_QUERIES}, answered: {len(answers)}')
    print(f'complete answers: {complete}')
    print(f'shards covered: {len(first["covered"])}')
    versions = sorted({answer['index_version'] for answer in answers})
    print(f'index versions: {versions}')
    for percentile in (50, 99, 99.9):
        micros = histogram.get_value_at_percentile(percentile)
        print(f'p{percentile:g}: {micros / 1000:.1f} ms')


async def _warm_up(addresses: list[str]) -> float:
    """Send queries until the cold targets carry the load; return seconds.

    A new entry process sends nothing to cold targets for 5 s, then it raises
    the load of each target in steps.
    """
    started = time.perf_counter()
    complete = 0
    while complete < _COMPLETE_IN_A_ROW:
        replies = await asyncio.gather(
            *(post(address, _PATH, b'{}') for address in addresses),
        )
        answered = all(status == _STATUS_OK for status, _ in replies)
        complete = complete + 1 if answered else 0
        await asyncio.sleep(_WARM_UP_PAUSE_SECONDS)
        if time.perf_counter() - started > _WARM_UP_SECONDS:
            raise TimeoutError(f'no complete answers for {_WARM_UP_SECONDS} s')
    return time.perf_counter() - started


def main() -> None:
    """Parse the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--directory', type=Path, required=True)
    asyncio.run(_run(parser.parse_args().directory))


if __name__ == '__main__':
    main()
