"""Builds the dispatcher configuration of a modelled deployment."""

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


def services_of(fleet: FleetModel, query_class: QueryClass) -> tuple[str, ...]:
    """Return the names of the services that a request of a class is sent to.

    They are all services of the group for a gather query, otherwise the first
    one.
    """
    groups = (
        group for group in fleet.groups if group.name == query_class.group
    )
    shards = next(groups).count if query_class.is_gather else 1
    return tuple(f'{query_class.group}-{number}' for number in range(shards))


def build_configuration(fleet: FleetModel) -> Configuration:
    """Return a configuration with one route for each query class."""
    route_by_prefix = {
        f'/{query_class.name}/': _route(fleet, query_class)
        for query_class in fleet.classes
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


def _route(fleet: FleetModel, query_class: QueryClass) -> Route:
    services = services_of(fleet, query_class)
    destinations = (
        () if query_class.is_gather else (WeightedService(services[0], 1),)
    )
    return Route(
        name=query_class.name,
        host=HOST,
        path_prefix=f'/{query_class.name}/',
        is_idempotent=query_class.is_idempotent,
        timeout=query_class.timeout,
        target_latency=query_class.target_latency,
        priority=1,
        attempts=2,
        destinations=destinations,
        shards=services if query_class.is_gather else (),
        top_records=5,
        required_coverage=query_class.required_coverage,
    )
