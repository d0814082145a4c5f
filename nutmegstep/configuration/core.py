"""Records of the configuration and the lookup of a request's route.

A route maps requests of one host and path prefix to services. A service is
a group of targets that answer the same requests.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from nutmegstep.accounts import AccountDirectory

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
    """Service that receives a share of the requests of a route.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests, relative to the weights of the route's other
        destinations.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where and how requests of one host and path prefix are handled.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Value of the ``Host`` header, in lower case and without a port.
    path_prefix : str
        Prefix of the path; begins and ends with a slash.
    is_idempotent : bool
        Whether a request may run more than once.
    timeout : datetime.timedelta
        Maximum time from the arrival of a request to its answer or refusal.
    target_latency : datetime.timedelta
        Intended time to an answer; later answers are less useful to callers.
    priority : int
        Rank of the requests; 0 is the most urgent.
    attempts : int
        Maximum number of targets to which one request may be sent; for each
        shard if the route has shards.
    destinations : tuple of WeightedService
        Services among which requests are distributed; empty if `shards` is
        not.
    shards : tuple of str
        Services that all receive each request and whose replies are merged;
        empty if `destinations` is not.
    top_records : int
        Number of records in a merged answer.
    required_coverage : float
        Smallest fraction of the shards, from 0 to 1, that an answer may
        cover.
    is_public : bool
        Whether requests need no key where the configuration has accounts.
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
    is_public: bool = False

    @property
    def is_gather(self) -> bool:
        """Whether answers are merged from the replies of shards."""
        return bool(self.shards)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Properties of a service as its configuration declares them.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Number of connections that one target accepts from all of its clients
        together.
    cold_period : datetime.timedelta
        Time after its start during which a target counts as cold.
    cold_rate : float
        Rate of requests per second that a cold target can handle. The
        settings `cold_overshoot` and `cold_slack` add tolerances to it.
    """

    name: str
    max_connections: int
    cold_period: timedelta
    cold_rate: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and timing of callers' requests.

    Parameters
    ----------
    head_bytes : int
        Maximum size in bytes of the request line and the headers together.
    body_bytes : int
        Maximum size of the body in bytes.
    head_timeout : datetime.timedelta
        Maximum time from the first byte of a request to the end of its
        headers.
    idle_timeout : datetime.timedelta
        Maximum time between two requests on a connection.
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
        Number that rises with each change, by 1 or more.
    routes_by_host : Mapping
        Routes by path prefix, grouped by host.
    services_by_name : Mapping
        Declared services.
    limits : CallerLimits
        Limits on the size and timing of callers' requests.
    accounts : AccountDirectory or None
        Client accounts; None if callers need none.
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
    accounts: AccountDirectory | None = None


def match_route(
    configuration: Configuration,
    host: str,
    path: str,
) -> Route | None:
    """Return the route of a host whose prefix matches a path.

    If several prefixes match, the longest is chosen.

    Parameters
    ----------
    configuration : Configuration
        Configuration that holds the routes.
    host : str
        Value of the ``Host`` header; its port and its case are ignored.
    path : str
        Path without the query string.

    Returns
    -------
    Route or None
        The route; None if no route matches.

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
