"""Passes each event to the function that handles it."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from nutmegstep.engine import control, one_shot, scatter, warming
from nutmegstep.engine.admitting import admit_queued, on_query
from nutmegstep.engine.effects import Effect
from nutmegstep.engine.events import (
    CallerDisconnected,
    CatalogueChanged,
    ClaimRefused,
    ClaimWon,
    ControlChanged,
    DrainStarted,
    Event,
    FleetChanged,
    LeasesChanged,
    OneShotArrived,
    QueryArrived,
    StoredAnswerFound,
    TargetAnswered,
    TargetConnectionsClosed,
    TargetConnectionsLost,
    TargetFailed,
    TargetReportedWarm,
    TimerFired,
)
from nutmegstep.engine.state import EngineState
from nutmegstep.engine.waiting import send_waiting

__all__ = ['reduce']

_ReduceFunction = Callable[[EngineState, Any, float, list[Effect]], None]


def reduce(state: EngineState, event: Event, now: float) -> list[Effect]:
    """Apply an event to the state and return the effects to perform.

    Parameters
    ----------
    state : EngineState
        Changed in place.
    event : Event
        What happened.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Effect
        In the order in which they must be performed.

    Notes
    -----
    Deterministic: the same state, event and time give the same effects.
    """
    effects: list[Effect] = []
    _FUNCTION_BY_EVENT[type(event)](state, event, now, effects)
    # Slots or admission limits that the event freed are given to waiting
    # requests and queued queries, whose outcomes may free further ones.
    while (
        state.targets_with_freed_slot
        or state.recheck_waiting
        or state.recheck_queue
    ):
        send_waiting(state, now, effects)
        if state.recheck_queue:
            admit_queued(state, now, effects)
    return effects


_FUNCTION_BY_EVENT: Final[MappingProxyType[type, _ReduceFunction]] = (
    MappingProxyType(
        {
            QueryArrived: on_query,
            OneShotArrived: one_shot.on_one_shot,
            TargetAnswered: scatter.on_target_answered,
            TargetFailed: scatter.on_target_failed,
            TimerFired: scatter.on_timer,
            CallerDisconnected: scatter.on_caller_disconnected,
            ClaimWon: one_shot.on_claim_won,
            StoredAnswerFound: one_shot.on_stored_answer_found,
            ClaimRefused: one_shot.on_claim_refused,
            LeasesChanged: warming.on_leases_changed,
            TargetReportedWarm: warming.on_target_reported_warm,
            TargetConnectionsLost: warming.on_connections_lost,
            TargetConnectionsClosed: warming.on_connections_closed,
            FleetChanged: control.on_fleet,
            CatalogueChanged: control.on_catalogue,
            ControlChanged: control.on_control,
            DrainStarted: control.on_drain,
        }
    )
)
