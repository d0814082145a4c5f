"""Decodes the JSON documents in the platform's store."""

import re
from collections import defaultdict
from datetime import timedelta
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from nutmegstep.accounts import (
    AccountDirectory,
    ClientAccount,
    build_directory,
)
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
_MAX_PORT: Final = 65535
_MAX_COLD_MS: Final = 86_400_000
"""Longest time in milliseconds for which a target may stay cold; one day."""
_PORT: Final = re.compile('[1-9][0-9]{0,4}')
_HEADER_TEXT: Final = r'^[!-~]+$'
"""Visible ASCII characters, which a header can hold."""
_MAX_QUOTED: Final = 64
"""Most characters of an invalid text that are quoted in a message."""


class _StrictModel(BaseModel):
    model_config = ConfigDict(strict=True, extra='ignore', frozen=True)


class _SplitDocument(_StrictModel):
    service: str
    weight: float = Field(ge=0)


class _RouteDocument(_StrictModel):
    name: str
    host: str
    path_prefix: str
    # Only requests of idempotent routes may be sent to a second target.
    route_kind: Literal['idempotent', 'non_idempotent']
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    # Most targets that a request, or the part of it for one shard, may be
    # sent to.
    attempts: int = 1
    service: str | None = None
    traffic_split: list[_SplitDocument] = Field(default_factory=list)
    # Names of the services that hold the shards of a query.
    gather: list[str] = Field(default_factory=list)
    top_k: int = 0
    min_coverage: float = 1
    # Whether requests need no key where there are tenants.
    public: bool = False


class _ServiceDocument(_StrictModel):
    name: str
    max_connections: int
    cold_s: float = 0
    # Requests per second that a cold target can serve; 0 if not declared.
    cold_per_s: float = 0


class _LimitsDocument(_StrictModel):
    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _TenantDocument(_StrictModel):
    name: str = Field(min_length=1, pattern=_HEADER_TEXT)
    api_keys: list[str] = Field(default_factory=list)
    priority: int = 0
    # Limit over all VMs together; 0 or nothing for none.
    rate_per_s: float | None = Field(default=None, ge=0)
    burst: float | None = Field(default=None, ge=0)


class _ConfigurationDocument(_StrictModel):
    config_version: int
    routes: list[_RouteDocument]
    services: list[_ServiceDocument]
    limits: _LimitsDocument
    tenants: list[_TenantDocument] | None = None


class _TargetDocument(_StrictModel):
    service: str = Field(min_length=1)
    address: str
    zone: str = Field(min_length=1)
    slots: int
    state: Literal['serving', 'draining']
    # Time for which the target stays cold, from its write of this document.
    cold_remaining_ms: float = Field(le=_MAX_COLD_MS)
    # Number of this write since the target process started.
    seq: int
    # Start of the target process in Unix milliseconds.
    born: int = 0
    # Version of its software, a text.
    config_version: object = None


def read_configuration(document: object) -> Result[Configuration, str]:
    """Decode a configuration that the operators wrote.

    Parameters
    ----------
    document : object
        Decoded JSON value.

    Returns
    -------
    returns.result.Result
        The configuration, or a message that names the first invalid field.
    """
    try:
        decoded = _ConfigurationDocument.model_validate(document)
    except ValidationError as error:
        return Failure(_describe_error(error))
    routes_by_host: dict[str, dict[str, Route]] = defaultdict(dict)
    for route in decoded.routes:
        routes_by_host[route.host.lower()][route.path_prefix] = _build_route(
            route
        )
    services = {one.name: _build_service(one) for one in decoded.services}
    return Success(
        Configuration(
            decoded.config_version,
            MappingProxyType(dict(routes_by_host)),
            MappingProxyType(services),
            CallerLimits(
                decoded.limits.header_bytes,
                decoded.limits.body_bytes,
                decoded.limits.header_timeout_ms * _MILLISECOND,
                decoded.limits.idle_timeout_ms * _MILLISECOND,
            ),
            _build_accounts(decoded.tenants),
        ),
    )


def read_target(
    target_id: str,
    document: object,
    now: float,
) -> Result[TargetRecord, str]:
    """Decode the announcement that a target wrote about itself.

    Parameters
    ----------
    target_id : str
        Name of the object, which identifies the target.
    document : object
        Decoded JSON value. Other writers of the store may have written
        anything there.
    now : float
        Monotonic time of the read in seconds.

    Returns
    -------
    returns.result.Result
        The record, or a message that says why the document is invalid.
    """
    try:
        decoded = _TargetDocument.model_validate(document)
    except ValidationError as error:
        return Failure(_describe_error(error))
    host, _, port = decoded.address.rpartition(':')
    if not _is_valid_port(port) or not _is_host(host):
        quoted = decoded.address[:_MAX_QUOTED]
        return Failure(
            f'address {quoted!r} is not an IPv4 address of a host and a port '
            f'from 1 to {_MAX_PORT}'
        )
    return Success(
        TargetRecord(
            target_id=target_id,
            service=decoded.service,
            host=host,
            port=int(port),
            failure_domain=decoded.zone,
            slots=max(1, decoded.slots),
            is_draining=decoded.state == 'draining',
            cold_until=now + decoded.cold_remaining_ms / 1000,
            started_ms=decoded.born,
            version=(
                decoded.config_version
                if isinstance(decoded.config_version, str)
                else ''
            ),
        ),
    )


def _is_valid_port(text: str) -> bool:
    return bool(_PORT.fullmatch(text)) and int(text) <= _MAX_PORT


def _is_host(text: str) -> bool:
    try:
        address = IPv4Address(text)
    except ValueError:
        return False
    # Connections to 0.0.0.0 would reach this VM.
    return not (
        address.is_unspecified or address.is_multicast or address.is_reserved
    )


def _build_route(decoded: _RouteDocument) -> Route:
    destinations = tuple(
        WeightedService(one.service, one.weight)
        for one in decoded.traffic_split
    )
    if decoded.service is not None and not destinations:
        destinations = (WeightedService(decoded.service, 1),)
    return Route(
        name=decoded.name,
        host=decoded.host,
        path_prefix=decoded.path_prefix,
        is_idempotent=decoded.route_kind == 'idempotent',
        timeout=decoded.timeout_ms * _MILLISECOND,
        target_latency=decoded.target_latency_ms * _MILLISECOND,
        priority=decoded.priority,
        attempts=max(1, decoded.attempts),
        destinations=destinations,
        shards=tuple(decoded.gather),
        top_records=decoded.top_k,
        required_coverage=decoded.min_coverage,
        is_public=decoded.public,
    )


def _build_accounts(
    tenants: list[_TenantDocument] | None,
) -> AccountDirectory | None:
    if not tenants:
        return None
    return build_directory(
        (
            ClientAccount(
                one.name, one.priority, one.rate_per_s or 0, one.burst or 0
            ),
            one.api_keys,
        )
        for one in tenants
    )


def _build_service(decoded: _ServiceDocument) -> ServiceSpec:
    return ServiceSpec(
        decoded.name,
        decoded.max_connections,
        timedelta(seconds=decoded.cold_s),
        decoded.cold_per_s,
    )


def _describe_error(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    location = '.'.join(str(step) for step in first['loc'])
    return f'{error.error_count()} errors, first at {location}: {first["msg"]}'
