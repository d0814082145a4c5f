"""Applies changes of configuration, catalogue, withdrawals and drains."""

from typing import Final

from nutmegstep.engine.effects import Effect
from nutmegstep.engine.events import (
    CatalogueChanged,
    ControlChanged,
    DrainStarted,
    FleetChanged,
)
from nutmegstep.engine.finishing import drain_if_idle
from nutmegstep.engine.state import EngineState
from nutmegstep.verdict import Reason

__all__ = [
    'on_catalogue',
    'on_control',
    'on_drain',
    'on_fleet',
    'refusal_reason',
]

# An entry VM of a withdrawn failure domain accepts requests for this long,
# until the load balancer has stopped sending callers to it.
_WITHDRAWAL_GRACE_SECONDS: Final = 3


def refusal_reason(
    state: EngineState,
    service: str,
    now: float,
) -> Reason | None:
    """Return why this VM refuses new requests of a service.

    Returns
    -------
    Reason or None
        None if new requests are accepted.
    """
    if state.draining:
        return Reason.DRAINING
    since = state.withdrawn_since
    if since is not None and now - since > _WITHDRAWAL_GRACE_SECONDS:
        return Reason.DOMAIN_WITHDRAWN
    if not state.fleet.generation:
        return Reason.NO_CONFIGURATION
    if service not in state.fleet.services_by_name:
        return Reason.UNKNOWN_SERVICE
    return None


def on_fleet(
    state: EngineState,
    event: FleetChanged,
    now: float,
    effects: list[Effect],
) -> None:
    """Replace the configuration if the new one has a higher generation."""
    if event.fleet.generation > state.fleet.generation:
        state.fleet = event.fleet
        state.targets.apply_fleet(event.fleet)
        state.warmup.keep_only(event.fleet.targets_by_name)
        _invalidate_caches(state)


def on_catalogue(
    state: EngineState,
    event: CatalogueChanged,
    now: float,
    effects: list[Effect],
) -> None:
    """Replace the list of versions of an index."""
    state.versions_by_index[event.index] = event.versions
    numbers = {version.number for version in event.versions}
    state.version_holders.keep_only(event.index, numbers)
    _invalidate_caches(state)


def on_control(
    state: EngineState,
    event: ControlChanged,
    now: float,
    effects: list[Effect],
) -> None:
    """Replace the withdrawn failure domains and the draining targets."""
    state.withdrawn_domains = event.withdrawn_domains
    state.draining_targets = event.draining_targets
    # Waiting shards may have lost their last usable replica, or gained one.
    _invalidate_caches(state)
    if state.failure_domain not in event.withdrawn_domains:
        state.withdrawn_since = None
    elif state.withdrawn_since is None:
        state.withdrawn_since = now


def on_drain(
    state: EngineState,
    event: DrainStarted,
    now: float,
    effects: list[Effect],
) -> None:
    """Refuse new requests and finish the drain once no request is left."""
    state.draining = True
    drain_if_idle(state, effects)


def _invalidate_caches(state: EngineState) -> None:
    state.limit_by_service.clear()
    state.shard_maps.clear()
    state.usable_targets_by_replicas.clear()
    state.recheck_waiting = True
    state.recheck_queue = True
