"""Probes of restricted content.

Content that was in flight on many targets as they crashed is sent now and then, by
one VM at a time, until a target runs it or crashes as well.
"""

from nutmegstep.dispatch.effects import Decision, Effect
from nutmegstep.dispatch.requests import OpenRequest
from nutmegstep.dispatch.state import DispatchState

__all__ = ['begin_probe', 'may_probe']


def may_probe(
    state: DispatchState, open_request: OpenRequest, now: float
) -> bool:
    """Return whether a request is restricted and this VM has the turn to send it."""
    crashes = state.crashes.find(open_request.content)
    return crashes.is_restricted(now) and crashes.has_turn(
        now, state.position, state.vm_count
    )


def begin_probe(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Make a restricted request a probe, which may be sent."""
    crashes = state.crashes.find(open_request.content)
    crashes.record_probe(now)
    open_request.probe_generation = crashes.count()
    inputs = {
        'content': open_request.content,
        'crashes': open_request.probe_generation,
    }
    return [Decision('probe', open_request.request.attempt_id, inputs)]
