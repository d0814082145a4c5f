"""Prints the tables of the capacity page from measured slopes.

``python -m nutmegstep.measure.capacity_tables`` measures the slopes of the
reducer, the codecs and the control side, which takes about four minutes.
With ``--stored`` it uses the costs of `capacity_inputs` and measures nothing.
The processor time of a target request over its whole path is an argument;
``scripts/measure_targets.py`` measures it.
"""

import argparse
import asyncio
import logging
import os
from dataclasses import dataclass, replace
from statistics import linear_regression
from typing import Final

from nutmegstep.measure.capacity import (
    batch_needed,
    cell_vms,
    change_bytes,
    change_share,
    claim_writes_allowed,
    claims_by_size,
    claims_per_write,
    claims_with_owners,
    contacts_within,
    control_bytes,
    control_share,
    distinct_cells,
    platform_calls,
    processes_needed,
    requests_per_node,
    requests_per_server,
    spread_seconds,
)
from nutmegstep.measure.capacity_inputs import Costs, Size
from nutmegstep.measure.control_costs import NodeCost, measure_cost
from nutmegstep.measure.slopes import measure_slope

__all__ = ['Row', 'costs_of_nodes', 'main', 'table_rows']

# Budgets of the control plane of a node: share of a core and bytes per second.
_CORE_BUDGET: Final = 0.021
_BYTES_BUDGET: Final = 22_000
_TODAY_VMS: Final = 7
_CONNECTIONS: Final = (25, 30, 35, 100)
_BATCHES: Final = (1, 4, 16, 64)
_FLIGHT_SECONDS: Final = 0.2
# The platform sustains several hundred writes per second.
_PLATFORM_WRITES: Final = 300
_OWNER_BATCH: Final = 20
_RATE: Final = '/s'
_MEGABYTE: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Row:
    """A figure of the capacity page.

    Parameters
    ----------
    role : str
        Part of the system that the figure is about.
    label : str
        Description of the figure.
    figure : float
        The figure.
    unit : str
        Unit of the figure; empty for a number.
    """

    role: str
    label: str
    figure: float
    unit: str

    def line(self) -> str:
        """Return the row as text.

        Examples
        --------
        >>> Row('relay', 'watches', 0.867, 'calls/s').line()
        'relay | watches | 0.867 calls/s'
        """
        return f'{self.role} | {self.label} | {self.figure:.4g} {self.unit}'


def costs_of_nodes(costs: Costs, measured: list[NodeCost]) -> Costs:
    """Return costs whose control-plane figures are fitted to measurements.

    Parameters
    ----------
    costs : Costs
        Costs; all others are taken from here.
    measured : list of NodeCost
        Measurements with at least three numbers of nodes.
    """
    contacts = [cost.nodes - 1 for cost in measured]
    share = linear_regression(contacts, [cost.processor for cost in measured])
    rate = linear_regression(contacts, [cost.socket_bytes for cost in measured])
    return replace(
        costs,
        node_share=max(0, share.intercept),
        contact_share=share.slope,
        node_bytes=max(0, rate.intercept),
        contact_bytes=rate.slope,
    )


def table_rows(size: Size, costs: Costs) -> list[Row]:
    """Return all rows of the capacity page."""
    return [
        *_coordinator(size, costs),
        *_relay(size, costs),
        *_control(size, costs),
        *_claims(size),
        *_platform(size),
        *_target(size),
    ]


def main() -> None:
    """Parse the arguments, measure and print."""
    logging.disable(logging.WARNING)
    options = _build_parser().parse_args()
    print(f'load average {os.getloadavg()[0]:.1f}')
    costs = Costs(options.request_us)
    if not options.stored:
        costs = _measured_costs(options)
    print(costs)
    for row in table_rows(Size(), costs):
        print(row.line())


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--request-us', type=float, default=261)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--nodes', type=int, nargs='+', default=[3, 6, 12, 24])
    parser.add_argument(
        '--stored',
        action='store_true',
        help='take the costs from capacity_inputs.py and measure nothing',
    )
    return parser


def _measured_node(nodes: int, seconds: float) -> NodeCost:
    cost = asyncio.run(measure_cost(nodes, seconds, 1))
    print(cost.line(), flush=True)
    return cost


def _measured_costs(options: argparse.Namespace) -> Costs:
    costs = Costs(
        request_us=options.request_us,
        reducer_us=measure_slope('reducer time of a query').per_item,
        vm_exchange_us=measure_slope('exchange without gRPC').per_item,
        vm_list_bytes=measure_slope('VM list in a fetch').per_item,
        target_decode_us=measure_slope('configuration decode').per_item,
        target_bytes=measure_slope('configuration size').per_item,
        target_memory=measure_slope('memory of the state').per_item,
        shard_memory=measure_slope('memory of a query in flight').per_item,
    )
    nodes = [_measured_node(count, options.seconds) for count in options.nodes]
    return costs_of_nodes(costs, nodes)


def _coordinator(size: Size, costs: Costs) -> list[Row]:
    role = 'coordinator'
    rate = requests_per_node(size)
    queries = size.queries / size.nodes
    flight = queries * _FLIGHT_SECONDS * size.shards * costs.shard_memory
    rows = [
        Row(role, 'queries', queries, _RATE),
        Row(role, 'target requests', rate, _RATE),
        Row(role, 'queries in flight', flight / _MEGABYTE, 'MB'),
        Row(
            role,
            'configuration and catalogue',
            size.servers * costs.target_memory / _MEGABYTE,
            'MB',
        ),
        Row(role, 'target requests a message', batch_needed(size, costs), ''),
    ]
    rows.extend(_batch_row(size, costs, batch) for batch in _BATCHES)
    return rows


def _batch_row(size: Size, costs: Costs, batch: int) -> Row:
    outside = (costs.request_us - costs.reducer_us) / batch
    microseconds = costs.reducer_us + outside
    processes = processes_needed(requests_per_node(size), microseconds)
    label = f'processes at 70% with batches of {batch}'
    return Row('coordinator', label, processes, '')


def _relay(size: Size, costs: Costs) -> list[Row]:
    rows = []
    for connections in _CONNECTIONS:
        cell = cell_vms(connections)
        reached = distinct_cells(size, connections)
        label = f'{connections} connections'
        rows.append(Row('relay', f'{label}: VMs of a cell', cell, ''))
        rows.append(Row('relay', f'{label}: cells of a query', reached, ''))
        batch = size.shards / reached
        rows.append(Row('relay', f'{label}: shards a message', batch, ''))
    rate = processes_needed(requests_per_node(size), costs.request_us)
    rows.append(Row('relay', 'processes at 70% without batches', rate, ''))
    return rows


def _control(size: Size, costs: Costs) -> list[Row]:
    role = 'control'
    every = size.nodes - 1
    fitting = contacts_within(costs, _CORE_BUDGET, _BYTES_BUDGET)
    published = size.servers * costs.target_bytes
    today = _TODAY_VMS - 1
    rows = [
        Row(
            role,
            'core, 6 contacts',
            control_share(costs, today, _TODAY_VMS),
            '',
        ),
        Row(role, 'bytes, 6 contacts', control_bytes(costs, today), 'B/s'),
        Row(
            role,
            'core, all nodes are contacts',
            control_share(costs, every, size.nodes),
            '',
        ),
        Row(role, 'bytes, all nodes', control_bytes(costs, every), 'B/s'),
        Row(
            role,
            'core for the list, 10 contacts',
            control_share(costs, 10, size.nodes) - control_share(costs, 10, 0),
            '',
        ),
        Row(role, 'contacts within the budgets', fitting, ''),
        Row(role, 'core for changes', change_share(size, costs), ''),
        Row(role, 'core for changes, relay', change_share(size, costs, 2), ''),
        Row(role, 'bytes of changes', change_bytes(size, published), 'B/s'),
        Row(role, 'list in a fetch', size.nodes * costs.vm_list_bytes, 'B'),
    ]
    if fitting > 1:
        seconds = spread_seconds(size, fitting)
        rows.append(Row(role, 'spread over a tree', seconds, 's'))
    return rows


def _claims(size: Size) -> list[Row]:
    role = 'claims'
    full = claims_by_size()
    alone = claims_per_write(size, full)
    owned = claims_with_owners(_PLATFORM_WRITES, _OWNER_BATCH)
    allowed = claim_writes_allowed(size)
    return [
        Row(role, 'claims until the journals are full', full, _RATE),
        Row(role, 'claims of a write at that rate', alone, ''),
        Row(role, 'claims at 300 writes/s', alone * _PLATFORM_WRITES, _RATE),
        Row(role, 'writes that all VMs allow themselves', allowed, _RATE),
        Row(role, 'claims with owners and batches of 20', owned, _RATE),
    ]


def _platform(size: Size) -> list[Row]:
    return [
        Row('platform', kind, rate, 'calls/s')
        for kind, rate in platform_calls(size).items()
    ]


def _target(size: Size) -> list[Row]:
    rate = requests_per_server(size)
    rows = [Row('target', 'requests', rate, _RATE)]
    for connections in _CONNECTIONS:
        excess = size.nodes / cell_vms(connections)
        label = f'VMs over the bound at {connections} connections'
        rows.append(Row('target', label, excess, 'times'))
    return rows


if __name__ == '__main__':
    main()
