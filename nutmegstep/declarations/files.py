"""Models that validate declaration files."""

import ipaddress
from datetime import timedelta
from typing import Annotated, Final

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from nutmegstep.model import CoverageRule, Service, Target, WorkClass

__all__ = [
    'LONGEST_TIMEOUT',
    'DeclarationFile',
    'FleetSection',
    'ServiceSection',
    'TargetSection',
    'split_address',
]

# A graceful stop waits at most 30 s for requests in flight. With a timeout
# of at most 10 s, a request and its retry end well before that.
LONGEST_TIMEOUT: Final = timedelta(seconds=10)
_MILLISECOND: Final = timedelta(milliseconds=1)
_LONGEST_TIMEOUT_MS: Final = LONGEST_TIMEOUT // _MILLISECOND
_LAST_PORT: Final = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``IP:port``.

    Raises
    ------
    ValueError
        The text is not an IP address with a port.

    Examples
    --------
    >>> split_address('[::1]:80')
    ('::1', 80)
    """
    host, _, port = address.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError('allowed is IP:port, for example 10.0.0.7:8080')
    if not port.isdecimal() or not 0 < int(port) <= _LAST_PORT:
        raise ValueError(f'port {port!r} is not between 1 and {_LAST_PORT}')
    return host, int(port)


def _check_address(address: str) -> str:
    split_address(address)
    return address


Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Count = Annotated[int, Field(strict=True, ge=1)]
Milliseconds = Annotated[int, Field(strict=True, ge=1, le=_LONGEST_TIMEOUT_MS)]
Address = Annotated[str, AfterValidator(_check_address)]


class _Section(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class ServiceSection(_Section):
    """Table ``[services.<name>]`` of a declaration file."""

    index: Name
    groups: Annotated[tuple[Name, ...], Field(min_length=1)]
    work_class: Annotated[WorkClass, Field(alias='class')]
    coverage: CoverageRule
    timeout_ms: Milliseconds

    def to_service(self, name: str) -> Service:
        """Return the declared service."""
        return Service(
            name,
            self.index,
            self.groups,
            self.work_class,
            self.coverage,
            timedelta(milliseconds=self.timeout_ms),
        )


class TargetSection(_Section):
    """Table ``[targets.<name>]`` with the `target_defaults` filled in."""

    address: Address
    failure_domain: Name
    slots: Count
    cold_slots: Count
    connections: Count

    def to_target(self, name: str) -> Target:
        """Return the declared target."""
        host, port = split_address(self.address)
        return Target(
            name,
            host,
            port,
            self.failure_domain,
            self.slots,
            self.cold_slots,
            self.connections,
        )


class FleetSection(_Section):
    """Table ``[fleet]``, which exactly one declaration file has."""

    entry_vms_max: Count
    entry_vms_per_domain: Annotated[dict[Name, Count], Field(min_length=1)]


class DeclarationFile(_Section):
    """Content of a declaration file."""

    fleet: FleetSection | None = None
    services: dict[Name, ServiceSection] = Field(default_factory=dict)
    targets: dict[Name, TargetSection] = Field(default_factory=dict)
