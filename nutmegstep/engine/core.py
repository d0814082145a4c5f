"""Dispatches each event to the function of its subject."""

from collections.abc import Callable, Iterable
from types import MappingProxyType
from typing import Any, Final

from nutmegstep.engine import scatter
from nutmegstep.engine.effects import Effect, FinishDrain
from nutmegstep.engine.events import (
    CallerGone,
    CatalogueChanged,
    ControlChanged,
    DrainStarted,
    Event,
    FleetChanged,
    QueryArrived,
    TargetAnswered,
    TargetFailed,
    TimerFired,
)
from nutmegstep.engine.state import EngineState

__all__ = ['reduce']

_ReduceFunction = Callable[[EngineState, Any, float], Iterable[Effect]]


def reduce(state: EngineState, event: Event, now: float) -> list[Effect]:
    """Apply an event to the state and return the effects to perform.

    Parameters
    ----------
    state : EngineState
        Changed in place.
    event : Event
        What happened.
    now : float
        Monotonic instant in seconds.

    Returns
    -------
    list of Effect
        In the order in which they must be performed.

    Notes
    -----
    Deterministic: the same state, event and instant give the same effects.
    """
    return list(_FUNCTION_BY_EVENT[type(event)](state, event, now))


def _on_fleet(
    state: EngineState,
    event: FleetChanged,
    now: float,
) -> Iterable[Effect]:
    if event.fleet.generation > state.fleet.generation:
        state.fleet = event.fleet
    return ()


def _on_catalogue(
    state: EngineState,
    event: CatalogueChanged,
    now: float,
) -> Iterable[Effect]:
    state.versions_by_index[event.index] = event.versions
    return ()


def _on_control(
    state: EngineState,
    event: ControlChanged,
    now: float,
) -> Iterable[Effect]:
    state.withdrawn_domains = event.withdrawn_domains
    state.draining_targets = event.draining_targets
    return ()


def _on_drain(
    state: EngineState,
    event: DrainStarted,
    now: float,
) -> Iterable[Effect]:
    state.draining = True
    return () if state.queries_by_id else (FinishDrain(),)


_FUNCTION_BY_EVENT: Final[MappingProxyType[type, _ReduceFunction]] = (
    MappingProxyType(
        {
            QueryArrived: scatter.on_query,
            TargetAnswered: scatter.on_target_answered,
            TargetFailed: scatter.on_target_failed,
            TimerFired: scatter.on_timer,
            CallerGone: scatter.on_caller_gone,
            FleetChanged: _on_fleet,
            CatalogueChanged: _on_catalogue,
            ControlChanged: _on_control,
            DrainStarted: _on_drain,
        }
    )
)
