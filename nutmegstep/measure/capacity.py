"""Calculations of the capacity page.

The functions take the size of the system and the measured costs as arguments,
so that they can be repeated for other sizes and costs.
"""

import math
from typing import Final

from nutmegstep.measure.capacity_inputs import Costs, Size

__all__ = [
    'batch_needed',
    'cell_vms',
    'change_bytes',
    'change_share',
    'claim_writes_allowed',
    'claims_by_size',
    'claims_per_write',
    'claims_with_owners',
    'contacts_within',
    'control_bytes',
    'control_share',
    'distinct_cells',
    'platform_calls',
    'processes_needed',
    'requests_per_node',
    'requests_per_server',
    'spread_seconds',
]

_DAY_SECONDS: Final = 86_400
_MICROSECONDS: Final = 1_000_000
_RELAYS_PER_DOMAIN: Final = 2
_WATCH_SECONDS: Final = 30
_LIST_SECONDS: Final = 5
_HEARTBEAT_SECONDS: Final = 0.5
_JOURNALS: Final = 32
_BUCKET_SECONDS: Final = 600
_JOURNAL_CLAIMS: Final = 22_499
_CLAIM_WRITES_PER_VM: Final = 40
# Calls of a start: reads of the configuration, the control state and a catalogue,
# then a watch and a list, because a process is a relay until it hears others.
_START_CALLS: Final = 5
# Calls of a relay for a change: the watch that returns and a read of the object.
_CHANGE_CALLS: Final = 2


def requests_per_node(size: Size) -> float:
    """Return the target requests per second of one node.

    Examples
    --------
    >>> round(requests_per_node(Size()))
    28696
    """
    return size.queries * size.shards / size.nodes


def requests_per_server(size: Size) -> float:
    """Return the requests per second at one server.

    Examples
    --------
    >>> round(requests_per_server(Size()))
    5739
    """
    return size.queries * size.shards / size.servers


def processes_needed(
    rate: float,
    microseconds: float,
    utilisation: float = 0.7,
) -> int:
    """Return the number of one-core processes for a rate of requests.

    Parameters
    ----------
    rate : float
        Requests per second.
    microseconds : float
        Processor time of a request.
    utilisation : float, optional
        Share of a core that a process may use.

    Examples
    --------
    >>> processes_needed(28_696, 261)
    11
    """
    cores = rate * microseconds / _MICROSECONDS
    return math.ceil(cores / utilisation)


def batch_needed(
    size: Size,
    costs: Costs,
    utilisation: float = 0.7,
) -> float:
    """Return the target requests per message with which one process suffices.

    Notes
    -----
    The requests of a message share the processor time outside the reducer, but
    each one has its own time in the reducer. The result is infinite if the
    reducer alone takes more than one process has.

    Examples
    --------
    >>> round(batch_needed(Size(), Costs()), 1)
    16.4
    """
    available = utilisation * _MICROSECONDS / requests_per_node(size)
    room = available - costs.reducer_us
    if room <= 0:
        return math.inf
    return (costs.request_us - costs.reducer_us) / room


def cell_vms(connections: int) -> int:
    """Return the number of VMs that can have one connection each to a server.

    Half of the connections of the server stay free for those of lost VMs.

    Examples
    --------
    >>> cell_vms(30)
    15
    """
    return connections // 2


def distinct_cells(size: Size, connections: int) -> float:
    """Return the mean number of cells of a region that a query reaches.

    A cell is a set of VMs that share the connections of a server.

    Notes
    -----
    Each region holds a replica of every shard, and the shards of a query
    fall on its cells at random.

    Examples
    --------
    >>> round(distinct_cells(Size(), 30), 1)
    46.3
    """
    cells = size.nodes / size.regions / cell_vms(connections)
    return cells * (1 - (1 - 1 / cells) ** size.shards)


def control_share(costs: Costs, contacts: int, listed_vms: int) -> float:
    """Return the share of a core that the exchanges of a node take.

    A digest of the VM list is computed for every message, so that the length
    of the list adds to the cost of each contact, both for the exchange sent
    and for the one received.

    Examples
    --------
    >>> costs = Costs(node_share=0.01, contact_share=0.001)
    >>> round(control_share(costs, 6, listed_vms=0), 3)
    0.016
    """
    per_second = contacts / _HEARTBEAT_SECONDS
    listing = per_second * listed_vms * costs.vm_exchange_us / _MICROSECONDS
    return costs.node_share + contacts * costs.contact_share + listing


def control_bytes(costs: Costs, contacts: int) -> float:
    """Return the bytes per second of the exchanges of a node.

    Examples
    --------
    >>> control_bytes(Costs(node_bytes=100, contact_bytes=800), 6)
    4900
    """
    return costs.node_bytes + contacts * costs.contact_bytes


def contacts_within(
    costs: Costs,
    share: float,
    bytes_per_second: float,
) -> int:
    """Return the number of contacts that two budgets allow, without a VM list.

    Examples
    --------
    >>> costs = Costs(0, 0, 0.001, 0.002, 0, 1000)
    >>> contacts_within(costs, 0.021, 22_000)
    10
    """
    by_share = (share - costs.node_share) / costs.contact_share
    by_bytes = (bytes_per_second - costs.node_bytes) / costs.contact_bytes
    return max(0, math.floor(min(by_share, by_bytes)))


def spread_seconds(size: Size, contacts: int) -> float:
    """Return the seconds in which a change spreads from one VM to all.

    Each VM passes it on to its contacts, and each level of this tree takes one
    heartbeat interval.

    Examples
    --------
    >>> spread_seconds(Size(), 10)
    2.0
    """
    rounds = math.ceil(math.log(size.nodes, contacts))
    return rounds * _HEARTBEAT_SECONDS


def change_share(size: Size, costs: Costs, decodes: int = 1) -> float:
    """Return the share of a core for decoding changed configurations.

    Examples
    --------
    >>> round(change_share(Size(), Costs()), 4)
    0.0087
    """
    microseconds = size.servers * costs.target_decode_us * decodes
    return size.changes_per_day * microseconds / _DAY_SECONDS / _MICROSECONDS


def change_bytes(size: Size, published_bytes: float) -> float:
    """Return the bytes per second of fetched configurations.

    Examples
    --------
    >>> round(change_bytes(Size(), 322_271))
    15666
    """
    return size.changes_per_day * published_bytes / _DAY_SECONDS


def platform_calls(size: Size) -> dict[str, float]:
    """Return the platform calls per second of all nodes, without claims.

    Examples
    --------
    >>> {kind: round(rate, 2) for kind, rate in platform_calls(Size()).items()}
    {'watch': 0.87, 'list': 5.2, 'changes': 2.53, 'starts': 0.52}
    """
    relays = size.domains * _RELAYS_PER_DOMAIN
    changes = size.changes_per_day / _DAY_SECONDS
    starts = size.starts_per_day / _DAY_SECONDS
    return {
        'watch': relays / _WATCH_SECONDS,
        'list': relays / _LIST_SECONDS,
        'changes': relays * _CHANGE_CALLS * changes,
        'starts': _START_CALLS * starts,
    }


def claims_by_size() -> float:
    """Return the claims per second that fill the journals of a time bucket.

    Examples
    --------
    >>> round(claims_by_size())
    1200
    """
    return _JOURNALS * _JOURNAL_CLAIMS / _BUCKET_SECONDS


def claim_writes_allowed(size: Size) -> float:
    """Return the sum of the limits of all VMs on claim writes per second.

    Examples
    --------
    >>> claim_writes_allowed(Size())
    184000
    """
    return size.nodes * _CLAIM_WRITES_PER_VM


def claims_per_write(size: Size, claims: float) -> float:
    """Return the mean number of claims in a write at a rate per second.

    Claims share a write only above the limit of each VM on its writes.

    Examples
    --------
    >>> claims_per_write(Size(), 1000)
    1
    >>> round(claims_per_write(Size(nodes=6), 1000), 1)
    4.2
    """
    return max(1, claims / claim_writes_allowed(size))


def claims_with_owners(writes_per_second: float, batch: int) -> float:
    """Return the claims per second if each journal has a VM that writes it.

    Examples
    --------
    >>> claims_with_owners(300, 20)
    6000
    """
    return writes_per_second * batch
