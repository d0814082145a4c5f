"""Configuration of a gateway: routes, services and limits on callers."""

from nutmegstep.configuration.core import (
    CallerLimits,
    Configuration,
    Route,
    ServiceSpec,
    WeightedService,
    match_route,
)

__all__ = [
    'CallerLimits',
    'Configuration',
    'Route',
    'ServiceSpec',
    'WeightedService',
    'match_route',
]
