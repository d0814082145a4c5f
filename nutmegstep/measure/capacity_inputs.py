"""Inputs of the arithmetic of the capacity page.

The defaults of `Size` are the design size. Those of `Costs` were measured;
``python -m nutmegstep.measure.capacity_tables`` measures them again.
"""

from dataclasses import dataclass

__all__ = ['Costs', 'Size']


@dataclass(frozen=True, slots=True)
class Size:
    """Size of the system; the defaults are the design size."""

    nodes: int = 4600
    servers: int = 23_000
    regions: int = 6
    domains: int = 13
    queries: float = 1_100_000
    shards: int = 120
    changes_per_day: int = 4200
    starts_per_day: int = 8975


@dataclass(frozen=True, slots=True)
class Costs:
    """Measured costs; the page names the command of each.

    Parameters
    ----------
    request_us : float
        Processor time of a target request on the whole path.
    reducer_us : float
        Part of it in the reducer.
    node_share : float
        Share of a core of the control side without contacts.
    contact_share : float
        Share of a core for each contact, both ends of its exchanges.
    node_bytes : float
        Bytes a second without contacts.
    contact_bytes : float
        Bytes a second for each contact, sent and received.
    vm_exchange_us : float
        Processor time of an exchange for each VM of the platform's list.
    vm_list_bytes : float
        Bytes of the list for each VM.
    target_decode_us : float
        Processor time to decode a configuration, for each target.
    target_bytes : float
        Published bytes for each target, compressed.
    target_memory : float
        Bytes of the engine's state for each target.
    shard_memory : float
        Bytes of a query in flight for each shard.
    """

    request_us: float = 261
    reducer_us: float = 9
    node_share: float = 0.0045
    contact_share: float = 0.00168
    node_bytes: float = 268
    contact_bytes: float = 1111
    vm_exchange_us: float = 1.016
    vm_list_bytes: float = 40.3
    target_decode_us: float = 7.8
    target_bytes: float = 14
    target_memory: float = 532
    shard_memory: float = 56
