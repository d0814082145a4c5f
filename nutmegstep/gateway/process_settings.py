"""What the settings of a gateway process mean for its parts."""

from dataclasses import fields
from typing import TYPE_CHECKING, Final

from nutmegstep.accounts import LimitTolerance
from nutmegstep.dispatch import ColdLimits, DispatchLimits
from nutmegstep.dispatch.budget import BudgetLimits
from nutmegstep.rollouts import ExposureLimits
from nutmegstep.settings import GatewaySettings

if TYPE_CHECKING:
    from nutmegstep.gateway.tracing import Tracing

__all__ = [
    'build_tracing',
    'dispatch_limits',
    'limit_tolerance',
    'names_waiting',
]

_RELOADED_SETTINGS: Final = frozenset(
    (
        'grace',
        'repeat_ratio',
        'repeat_slack',
        'repeat_window',
        'cold_overshoot',
        'cold_slack',
        'paces_returns',
        'limit_window',
        'limit_overshoot',
        'limit_slack',
    )
)
"""Settings whose changes are used without a restart."""


def names_waiting(old: GatewaySettings, new: GatewaySettings) -> list[str]:
    """Return the names of changed settings that are used after a restart only."""
    return [
        one.name
        for one in fields(old)
        if one.name not in _RELOADED_SETTINGS
        and getattr(old, one.name) != getattr(new, one.name)
    ]


def build_tracing(settings: GatewaySettings) -> 'Tracing | None':
    """Return what records spans, or None if none are sampled."""
    if not settings.trace_ratio:
        return None
    # Imported here: a process without traces starts faster and takes less
    # memory without the telemetry packages.
    from nutmegstep.gateway.tracing import Tracing
    from nutmegstep.telemetry.spans import LogSpanExporter, build_tracer

    return Tracing(build_tracer(LogSpanExporter(), settings.trace_ratio))


def limit_tolerance(settings: GatewaySettings) -> LimitTolerance:
    """Return the tolerance of the limits of client accounts."""
    return LimitTolerance(
        settings.limit_window, settings.limit_overshoot, settings.limit_slack
    )


def dispatch_limits(settings: GatewaySettings) -> DispatchLimits:
    """Return the bounds that the dispatcher keeps to."""
    return DispatchLimits(
        BudgetLimits(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window,
        ),
        ColdLimits(settings.cold_overshoot, settings.cold_slack),
        settings.paces_returns,
        ExposureLimits(settings.exposure_share, settings.exposure_slack)
        if settings.exposure_share
        else None,
    )
