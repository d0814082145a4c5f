"""Inputs of the calculations of the capacity page.

The defaults of `Size` are the design size. The defaults of `Costs` are measured
figures; ``python -m nutmegstep.measure.capacity_tables`` measures them again.
"""

from dataclasses import dataclass

__all__ = ['Costs', 'Size']


@dataclass(frozen=True, slots=True)
class Size:
    """Size of the system; the defaults are the design size.

    Parameters
    ----------
    nodes : int
        Number of entry VMs.
    servers : int
        Number of targets.
    regions : int
        Number of regions; each holds a replica of every shard.
    domains : int
        Number of failure domains.
    queries : float
        Queries per second over all entry VMs.
    shards : int
        Number of shards of a query.
    changes_per_day : int
        Changes of the configuration per day.
    starts_per_day : int
        Starts of entry VMs per day.
    """

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
    """Measured costs; the capacity page names the command that measures each.

    Parameters
    ----------
    request_us : float
        Processor time of a target request over its whole path in an entry
        process.
    reducer_us : float
        Part of `request_us` that is spent in the reducer.
    node_share : float
        Share of a core that the control plane of a node takes without contacts.
    contact_share : float
        Share of a core for each contact: exchanges sent to it and received
        from it.
    node_bytes : float
        Bytes per second without contacts.
    contact_bytes : float
        Bytes per second for each contact, sent and received.
    vm_exchange_us : float
        Processor time of an exchange for each VM on the list of the platform.
    vm_list_bytes : float
        Bytes of that list for each VM.
    target_decode_us : float
        Processor time to decode a configuration, for each of its targets.
    target_bytes : float
        Compressed bytes of a published configuration for each target.
    target_memory : float
        Bytes of engine state for each target.
    shard_memory : float
        Bytes of engine state for each shard of a query in flight.
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
