"""Configuration of a modelled deployment."""

from datetime import timedelta
from typing import Final

from nutmegstep.configuration import (
    Configuration,
    Route,
    ServiceSpec,
    WeightedService,
)
from nutmegstep.experiment.fleet import FleetModel, QueryClass

__all__ = ['HOST', 'build_configuration', 'services_of']

HOST: Final = 'experiment.example'


def services_of(fleet: FleetModel, one: QueryClass) -> tuple[str, ...]:
    """Return the services that a request of a class asks."""
    groups = (group for group in fleet.groups if group.name == one.group)
    shards = next(groups).count if one.is_gather else 1
    return tuple(f'{one.group}-{number}' for number in range(shards))


def build_configuration(fleet: FleetModel) -> Configuration:
    """Return the configuration with a route for each class."""
    route_by_prefix = {
        f'/{one.name}/': _route(fleet, one) for one in fleet.classes
    }
    services = {
        f'{group.name}-{number}': ServiceSpec(
            f'{group.name}-{number}',
            group.max_connections,
            timedelta(seconds=3),
            cold_rate=0,
        )
        for group in fleet.groups
        for number in range(group.count)
    }
    return Configuration(1, {HOST: route_by_prefix}, services)


def _route(fleet: FleetModel, one: QueryClass) -> Route:
    services = services_of(fleet, one)
    destinations = () if one.is_gather else (WeightedService(services[0], 1),)
    return Route(
        name=one.name,
        host=HOST,
        path_prefix=f'/{one.name}/',
        is_idempotent=one.is_idempotent,
        timeout=one.timeout,
        target_latency=one.target_latency,
        priority=1,
        attempts=2,
        destinations=destinations,
        shards=services if one.is_gather else (),
        top_records=5,
        required_coverage=one.required_coverage,
    )
