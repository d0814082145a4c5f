"""Documents of the platform's store, decoded into the project's types."""

from collections import defaultdict
from datetime import timedelta
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from nutmegstep.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceSpec,
    WeightedService,
)
from nutmegstep.discovery import TargetRecord

__all__ = ['read_configuration', 'read_target']

_MILLISECOND: Final = timedelta(milliseconds=1)
_PORT_MAX: Final = 65535


class _Strict(BaseModel):
    model_config = ConfigDict(strict=True, extra='ignore', frozen=True)


class _SplitDocument(_Strict):
    service: str
    weight: float = Field(ge=0)


class _RouteDocument(_Strict):
    name: str
    host: str
    path_prefix: str
    # Whether requests may be repeated.
    route_kind: Literal['idempotent', 'non_idempotent']
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    # Most targets that one request may run on, for each shard.
    attempts: int = 1
    service: str | None = None
    traffic_split: list[_SplitDocument] = Field(default_factory=list)
    # Shards that a query covers; each is a service.
    gather: list[str] = Field(default_factory=list)
    top_k: int = 0
    min_coverage: float = 1


class _ServiceDocument(_Strict):
    name: str
    max_connections: int
    cold_s: float = 0
    # Requests per second that a cold target bears; 0 where none is declared.
    cold_per_s: float = 0


class _LimitsDocument(_Strict):
    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _ConfigurationDocument(_Strict):
    config_version: int
    routes: list[_RouteDocument]
    services: list[_ServiceDocument]
    limits: _LimitsDocument


class _TargetDocument(_Strict):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal['serving', 'draining']
    # How long the target stays cold, counted from its write.
    cold_remaining_ms: float
    # Counts the writes of one incarnation.
    seq: int
    # Unix milliseconds of the start of the incarnation.
    born: int = 0


def read_configuration(document: object) -> Result[Configuration, str]:
    """Decode the operators' configuration.

    Parameters
    ----------
    document : object
        Decoded JSON value.

    Returns
    -------
    returns.result.Result
        The configuration, or why it cannot be used.
    """
    try:
        read = _ConfigurationDocument.model_validate(document)
    except ValidationError as error:
        return Failure(_describe(error))
    routes_by_host: dict[str, dict[str, Route]] = defaultdict(dict)
    for route in read.routes:
        routes_by_host[route.host.lower()][route.path_prefix] = _route(route)
    services = {one.name: _service(one) for one in read.services}
    return Success(
        Configuration(
            read.config_version,
            MappingProxyType(dict(routes_by_host)),
            MappingProxyType(services),
            CallerLimits(
                read.limits.header_bytes,
                read.limits.body_bytes,
                read.limits.header_timeout_ms * _MILLISECOND,
                read.limits.idle_timeout_ms * _MILLISECOND,
            ),
        ),
    )


def read_target(
    target_id: str,
    document: object,
    now: float,
) -> Result[TargetRecord, str]:
    """Decode the announcement of a target.

    Parameters
    ----------
    target_id : str
        Name of the object.
    document : object
        Decoded JSON value; other writers may have left anything there.
    now : float
        Monotonic instant of the read.

    Returns
    -------
    returns.result.Result
        The record, or why it names no target.
    """
    try:
        read = _TargetDocument.model_validate(document)
    except ValidationError as error:
        return Failure(_describe(error))
    host, _, port = read.address.rpartition(':')
    if not port.isdigit() or not 0 < int(port) <= _PORT_MAX:
        return Failure(f'address {read.address!r} has no port')
    try:
        IPv4Address(host)
    except ValueError as error:
        return Failure(str(error))
    return Success(
        TargetRecord(
            target_id=target_id,
            service=read.service,
            host=host,
            port=int(port),
            failure_domain=read.zone,
            slots=max(1, read.slots),
            is_draining=read.state == 'draining',
            cold_until=now + read.cold_remaining_ms / 1000,
            born=read.born,
        ),
    )


def _route(read: _RouteDocument) -> Route:
    destinations = tuple(
        WeightedService(one.service, one.weight) for one in read.traffic_split
    )
    if read.service is not None and not destinations:
        destinations = (WeightedService(read.service, 1),)
    return Route(
        name=read.name,
        host=read.host,
        path_prefix=read.path_prefix,
        is_idempotent=read.route_kind == 'idempotent',
        timeout=read.timeout_ms * _MILLISECOND,
        target_latency=read.target_latency_ms * _MILLISECOND,
        priority=read.priority,
        attempts=max(1, read.attempts),
        destinations=destinations,
        shards=tuple(read.gather),
        top_records=read.top_k,
        required_coverage=read.min_coverage,
    )


def _service(read: _ServiceDocument) -> ServiceSpec:
    return ServiceSpec(
        read.name,
        read.max_connections,
        timedelta(seconds=read.cold_s),
        read.cold_per_s,
    )


def _describe(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    where = '.'.join(str(step) for step in first['loc'])
    return f'{error.error_count()} errors, first at {where}: {first["msg"]}'
