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
    """Services of one shape; each has one target in each failure domain.

    Parameters
    ----------
    name : str
        Prefix of the services' names.
    count : int
        Number of services.
    slots : int
        Requests that a target processes concurrently.
    queue : int
        Requests that wait at a target; further ones are rejected.
    targets_per_domain : int
        Targets of a service in each failure domain.
    pause : datetime.timedelta
        Length of a target's pauses; zero for none.
    pause_every : datetime.timedelta
        Time between the starts of two pauses of a target.
    connect : datetime.timedelta
        Work of a target on a new connection.
    max_connections : int
        Connections that a target accepts.
    """

    name: str
    count: int
    slots: int
    queue: int = 18
    targets_per_domain: int = 1
    pause: timedelta = timedelta(0)
    pause_every: timedelta = timedelta(seconds=3)
    connect: timedelta = timedelta(milliseconds=6)
    max_connections: int = 31


@dataclass(frozen=True, slots=True)
class QueryClass:
    """A kind of request.

    Parameters
    ----------
    name : str
        Name of the kind and of its route.
    group : str
        Group of services that is asked.
    is_gather : bool
        Whether all services of the group are asked.
    per_second : float
        Requests per second over all VMs.
    work : datetime.timedelta
        Mean work of one target.
    spread : float
        Standard deviation of the work's logarithm.
    target_latency : datetime.timedelta
        Time within which an answer is worth most, as callers see it.
    timeout : datetime.timedelta
        Time for which callers wait.
    required_coverage : float
        Smallest share of the shards that an answer may cover.
    tail_share : float
        Share of the requests with much longer work.
    tail_factor : float
        How much longer.
    worth : float
        Credit of an answer in time.
    late_worth : float
        Share of the credit of a late answer.
    is_idempotent : bool
        Whether requests may be repeated.
    """

    name: str
    group: str
    is_gather: bool
    per_second: float
    work: timedelta
    spread: float
    target_latency: timedelta
    timeout: timedelta
    required_coverage: float = 1
    tail_share: float = 0
    tail_factor: float = 1
    worth: float = 1
    late_worth: float = 0.1
    is_idempotent: bool = True


@enum.unique
class FaultKind(enum.Enum):
    """What befalls targets."""

    SLOW = 'slow'
    SILENT = 'silent'
    REFUSING = 'refusing'
    SHEDDING = 'shedding'
    ERRORS = 'errors'


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """Fault of some targets for some time.

    Parameters
    ----------
    kind : FaultKind
        What happens.
    group : str
        Group of services that is hit.
    start, duration : datetime.timedelta
        When, from the start of the load.
    share : float
        Share of the group's targets, drawn by the seed.
    factor : float
        Factor on the work, or share of the requests that fail.
    service : str
        One service whose targets are all hit, instead of a share.
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
    """A deployment.

    Parameters
    ----------
    domains : int
        Number of failure domains.
    vms : int
        Entry VMs over all failure domains.
    groups : tuple of ShardGroup
        Services.
    classes : tuple of QueryClass
        Load.
    between_domains : datetime.timedelta
        One way between failure domains.
    to_callers : datetime.timedelta
        One way to callers.
    repeat_slack : float
        Extra sends per window over all VMs.
    faults : tuple of InjectedFault
        Faults of targets.
    """

    domains: int
    vms: int
    groups: tuple[ShardGroup, ...]
    classes: tuple[QueryClass, ...]
    between_domains: timedelta
    to_callers: timedelta
    repeat_slack: float = 50
    faults: tuple[InjectedFault, ...] = ()
