"""Description of a modelled deployment."""

import enum
from dataclasses import dataclass
from datetime import timedelta

__all__ = [
    'FaultKind',
    'FleetModel',
    'InjectedFault',
    'QueryClass',
    'ShardGroup',
]


@dataclass(frozen=True, slots=True)
class ShardGroup:
    """Group of services whose targets have the same properties.

    Parameters
    ----------
    name : str
        Prefix of the names of the services.
    count : int
        Number of services.
    slots : int
        Number of requests that a target processes concurrently.
    queue : int
        Number of requests that wait at a target; it rejects further ones.
    targets_per_domain : int
        Number of targets of a service in each failure domain.
    pause : datetime.timedelta
        Length of the periodic pauses in which a target processes nothing;
        zero for none.
    pause_interval : datetime.timedelta
        Time from the start of a pause to the start of the next one.
    connect : datetime.timedelta
        Processing time of a target for a new connection.
    max_connections : int
        Maximum number of connections of a target, as declared for its service.
    speeds : tuple of float
        Speeds of the targets of a service, in turn.
    slow_share : float
        Share of the periods of `slow_period` in which a target is slower.
    slow_factor : float
        Factor on the service time in those periods.
    slow_period : datetime.timedelta
        Length of the periods.
    """

    name: str
    count: int
    slots: int
    queue: int = 18
    targets_per_domain: int = 1
    pause: timedelta = timedelta(0)
    pause_interval: timedelta = timedelta(seconds=3)
    connect: timedelta = timedelta(milliseconds=6)
    max_connections: int = 31
    speeds: tuple[float, ...] = (1,)
    slow_share: float = 0
    slow_factor: float = 2.5
    slow_period: timedelta = timedelta(milliseconds=600)


@dataclass(frozen=True, slots=True)
class QueryClass:
    """A kind of request with its load.

    Parameters
    ----------
    name : str
        Name of the kind of request and of its route.
    group : str
        Name of the group of services that the request is sent to.
    is_gather : bool
        Whether the request is sent to all services of the group and their
        answers are merged, instead of to the first service only.
    per_second : float
        Mean number of requests per second, summed over all VMs.
    service_time : datetime.timedelta
        Mean time that one target needs for a request, without the tail factor.
    spread : float
        Standard deviation of the logarithm of the service time.
    target_latency : datetime.timedelta
        Latency, as callers see it, up to which an answer earns full credit.
    timeout : datetime.timedelta
        Time for which callers wait.
    required_coverage : float
        Minimum share of the shards that an answer must cover.
    tail_share : float
        Share of the requests whose service time is multiplied by
        `tail_factor`.
    tail_factor : float
        Factor on the service time of those requests.
    credit : float
        Credit for an answer within the target latency.
    late_credit_share : float
        Share of the credit that a later answer earns.
    is_idempotent : bool
        Whether requests may be repeated at another target.
    """

    name: str
    group: str
    is_gather: bool
    per_second: float
    service_time: timedelta
    spread: float
    target_latency: timedelta
    timeout: timedelta
    required_coverage: float = 1
    tail_share: float = 0
    tail_factor: float = 1
    credit: float = 1
    late_credit_share: float = 0.1
    is_idempotent: bool = True


@enum.unique
class FaultKind(enum.Enum):
    """Kind of fault that a target can have.

    The factor of `InjectedFault` is the factor on the service time for SLOW
    and the probability that a request fails for SHEDDING and ERRORS. SILENT
    targets answer nothing, and REFUSING ones accept no connection.
    """

    SLOW = 'slow'
    SILENT = 'silent'
    REFUSING = 'refusing'
    SHEDDING = 'shedding'
    ERRORS = 'errors'


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """Fault of some targets of a group for some time.

    Parameters
    ----------
    kind : FaultKind
        Kind of the fault.
    group : str
        Name of the group of services.
    start, duration : datetime.timedelta
        Start, counted from the start of the counted load, and length.
    share : float
        Share of the targets of the group that have the fault; they are drawn
        at random from the seed.
    factor : float
        Factor on the service time, or share of the requests that fail.
    service : str
        Name of a service whose targets all have the fault, instead of the
        share; empty for none.
    """

    kind: FaultKind
    group: str
    start: timedelta
    duration: timedelta
    share: float = 0.15
    factor: float = 5
    service: str = ''


@dataclass(frozen=True, slots=True)
class FleetModel:
    """A modelled deployment with its load and its faults.

    Parameters
    ----------
    domains : int
        Number of failure domains.
    vms : int
        Number of entry VMs, summed over all failure domains.
    groups : tuple of ShardGroup
        Services and their targets.
    classes : tuple of QueryClass
        Requests of callers.
    between_domains : datetime.timedelta
        One-way network latency between failure domains.
    to_callers : datetime.timedelta
        One-way network latency between callers and entry VMs.
    repeat_slack : float
        Extra sends per window that are allowed in addition to the share of
        requests, summed over all VMs.
    faults : tuple of InjectedFault
        Faults that are injected.
    paces_returns : bool
        Whether targets that recover get their load back at the pace of their
        answers.
    """

    domains: int
    vms: int
    groups: tuple[ShardGroup, ...]
    classes: tuple[QueryClass, ...]
    between_domains: timedelta
    to_callers: timedelta
    repeat_slack: float = 50
    faults: tuple[InjectedFault, ...] = ()
    paces_returns: bool = False
