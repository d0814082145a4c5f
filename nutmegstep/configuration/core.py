"""Routes by host and path, the services behind them, limits on callers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = [
    'CallerLimits',
    'Configuration',
    'Route',
    'ServiceSpec',
    'WeightedService',
    'match_route',
]


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One destination of a route.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share relative to the other destinations of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests of one host and path prefix are served.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Value of the ``Host`` header, in lower case and without a port.
    path_prefix : str
        Begins and ends with a slash.
    is_idempotent : bool
        Whether a request may run more than once.
    timeout : datetime.timedelta
        Longest time for which a caller is kept waiting.
    target_latency : datetime.timedelta
        Time within which an answer is worth most.
    priority : int
        Rank; 0 is the most urgent.
    attempts : int
        Most targets to which one request may be sent, for each shard.
    destinations : tuple of WeightedService
        Services that share the requests; empty when `shards` is not.
    shards : tuple of str
        Services that are queried together; empty for a single destination.
    top_records : int
        Number of records of a merged answer.
    required_coverage : float
        Smallest share of the shards that an answer may cover.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout: timedelta
    target_latency: timedelta
    priority: int
    attempts: int
    destinations: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_records: int = 0
    required_coverage: float = 1

    @property
    def is_gather(self) -> bool:
        """Whether an answer is merged from several shards."""
        return bool(self.shards)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Declared properties of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one target accepts from all callers together.
    cold_period : datetime.timedelta
        How long a target stays cold after its start.
    cold_rate : float
        Requests per second that a cold target bears, before tolerances.
    """

    name: str
    max_connections: int
    cold_period: timedelta
    cold_rate: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller sends.

    Parameters
    ----------
    head_bytes : int
        Largest request line and header block.
    body_bytes : int
        Largest body.
    head_timeout : datetime.timedelta
        Longest time from the first byte of a request to the end of its head.
    idle_timeout : datetime.timedelta
        Longest time between two requests of a connection.
    """

    head_bytes: int
    body_bytes: int
    head_timeout: timedelta
    idle_timeout: timedelta


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Rises with each change, in uneven steps.
    routes_by_host : Mapping
        Routes by path prefix, by host.
    services_by_name : Mapping
        Declared services.
    limits : CallerLimits
        Bounds on what a caller sends.
    """

    version: int
    routes_by_host: Mapping[str, Mapping[str, Route]]
    services_by_name: Mapping[str, ServiceSpec]
    limits: CallerLimits = field(
        default=CallerLimits(
            head_bytes=16384,
            body_bytes=262144,
            head_timeout=timedelta(seconds=3),
            idle_timeout=timedelta(seconds=15),
        ),
    )


def match_route(
    configuration: Configuration,
    host: str,
    path: str,
) -> Route | None:
    """Return the route with the longest prefix of a path, if any.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    host : str
        Value of the ``Host`` header; a port and the case are ignored.
    path : str
        Path without the query.

    Examples
    --------
    >>> match_route(Configuration(1, {}, {}), 'shop.example', '/a/b') is None
    True
    """
    name = host.partition(':')[0].lower()
    route_by_prefix = configuration.routes_by_host.get(name)
    if not route_by_prefix:
        return None
    end = path.rfind('/')
    while end >= 0:
        route = route_by_prefix.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None
