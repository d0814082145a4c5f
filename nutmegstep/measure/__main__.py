"""Runs scenarios against processes that the start script has started."""

import argparse
import asyncio
import sys
from pathlib import Path

import orjson

from nutmegstep.measure.bare import run_bare_loop
from nutmegstep.measure.bench import Bench, Phase, load_bench
from nutmegstep.measure.goals import goal_lines
from nutmegstep.measure.parts import part_lines
from nutmegstep.measure.report import HEADING, format_phase, phase_record
from nutmegstep.measure.scenarios import SCENARIOS_BY_NAME
from nutmegstep.measure.warming import warm_up
from nutmegstep.standins.deployments import (
    INDEX_VERSION,
    SHAPES_BY_DEPLOYMENT,
    build_version,
)

__all__ = ['main']

_BARE = 'bare'
_JSON_LINE = orjson.OPT_APPEND_NEWLINE
_BARE_SECONDS = 3


async def _run(
    bench: Bench,
    names: list[str],
    output: Path,
    bare_us: float,
) -> int:
    phases: list[Phase] = []
    print(HEADING, flush=True)
    with output.open('ab') as lines:
        for scenario in (warm_up, *(SCENARIOS_BY_NAME[name] for name in names)):
            async for phase in scenario(bench):
                print(format_phase(bench.deployment, phase), flush=True)
                document = phase_record(bench.deployment, phase)
                lines.write(orjson.dumps(document, option=_JSON_LINE))
                phases.append(phase)
    for note in (*bench.notes, *goal_lines(phases, bare_us)):
        print(f'{bench.deployment}: {note}')
    totals = await bench.control.totals()
    print(
        f'{bench.deployment}: connections refused by targets '
        f'{totals.refused_connections}',
    )
    return sum(one.load.incorrect_by_fault.total() for one in phases)


async def _run_bare(bench: Bench) -> float:
    version = build_version(bench.deployment, INDEX_VERSION)
    endpoints = [
        ('127.0.0.1', bench.port_by_target[name], shard.name)
        for shard in version.shards_by_name.values()
        for name in shard.replicas
    ]
    bare = await run_bare_loop(endpoints, INDEX_VERSION, _BARE_SECONDS)
    print(
        f'{bench.deployment}: bare loop {bare.microseconds:.0f} us per target '
        f'request over {bare.requests} requests',
    )
    for line in await part_lines():
        print(f'{bench.deployment}: {line}')
    return bare.microseconds


async def _measure(arguments: argparse.Namespace) -> int:
    bench = load_bench(
        arguments.directory,
        arguments.deployment,
        arguments.seed,
        arguments.seconds,
        arguments.rate_per_entry,
        arguments.overload_factor,
    )
    chosen = arguments.only.split(',')
    bare_us = await _run_bare(bench) if _BARE in chosen else 0
    names = [name for name in chosen if name != _BARE]
    return await _run(bench, names, arguments.output, bare_us)


def main() -> None:
    """Parse the arguments and run; exit 1 when an answer was untrue."""
    arguments = _build_parser().parse_args()
    sys.exit(1 if asyncio.run(_measure(arguments)) else 0)


def _build_parser() -> argparse.ArgumentParser:
    every = ','.join((_BARE, *SCENARIOS_BY_NAME))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', choices=SHAPES_BY_DEPLOYMENT)
    parser.add_argument('--directory', type=Path, required=True)
    parser.add_argument('--output', type=Path, required=True)
    parser.add_argument('--only', default=every, help=f'some of {every}')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--rate-per-entry', type=float, default=8)
    parser.add_argument('--overload-factor', type=float, default=10)
    return parser


if __name__ == '__main__':
    main()
