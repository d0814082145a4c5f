"""Measures the control plane over loopback sockets.

``python -m nutmegstep.measure.control`` prints the times until changes are in
force at every VM, and the cost of the nodes. All nodes and the stand-in of
the platform run in this process, without TLS.
"""

import argparse
import asyncio
import logging
import os

from nutmegstep.measure.control_costs import measure_cost
from nutmegstep.measure.control_nodes import run_nodes
from nutmegstep.measure.control_times import TIMES_BY_NAME, measure_times

__all__ = ['main']


def main() -> None:
    """Parse the arguments, measure and print."""
    logging.disable(logging.WARNING)
    arguments = _build_parser().parse_args()
    _print_load()
    if arguments.runs:
        asyncio.run(_print_times(arguments))
    for nodes in arguments.nodes:
        cost = asyncio.run(
            measure_cost(nodes, arguments.seconds, arguments.seed),
        )
        print(cost.line(), flush=True)
        _print_load()


async def _print_times(arguments: argparse.Namespace) -> None:
    async with run_nodes(arguments.timed_nodes, arguments.seed) as bench:
        for name in TIMES_BY_NAME:
            times = await measure_times(bench, name, arguments.runs)
            print(f'{arguments.timed_nodes} nodes, {times.line()}', flush=True)
    _print_load()


def _print_load() -> None:
    print(f'load average {os.getloadavg()[0]:.1f}', flush=True)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='*', default=[3, 6, 12, 24])
    parser.add_argument('--seconds', type=float, default=40)
    parser.add_argument('--timed-nodes', type=int, default=12)
    parser.add_argument('--runs', type=int, default=10)
    parser.add_argument('--seed', type=int, default=1)
    return parser


if __name__ == '__main__':
    main()
