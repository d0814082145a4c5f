"""Judges outcomes of sends as evidence about a new version.

What is slow because its target is cold, has just failed to answer another request
or stands in a failure domain that is out of reach says nothing about the version.
"""

from typing import Final

from nutmegstep.dispatch.effects import Decision, Effect
from nutmegstep.dispatch.events import SendFailureKind, TargetReply
from nutmegstep.dispatch.requests import Send
from nutmegstep.dispatch.rollout_record import Rollout
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.rollouts import Verdict

__all__ = ['record_failed_send', 'record_replied_send']

_SLOW_MEDIANS: Final = 2.5
"""Medians of the route from which an answer counts as slow."""
_HOLD_SECONDS: Final = 3.0
"""Time for which a VM sends nothing to a version that it has found bad itself;
by then the decider has taken it back, or has found it good."""
_BROKEN: Final = frozenset((SendFailureKind.INVALID, SendFailureKind.RESET))
_UNANSWERED: Final = frozenset(
    (SendFailureKind.CANCELLED, SendFailureKind.TIMEOUT)
)


def record_replied_send(
    state: DispatchState, send: Send, reply: TargetReply, now: float
) -> list[Effect]:
    """Record a reply as evidence about the version of its target."""
    rollout = _rollout_of(state, send)
    if rollout is None or reply.is_misdirected or not reply.was_executed:
        return []
    if not reply.is_success:
        return _record(state, rollout, send, now, is_bad=True)
    is_slow = _is_slow(state, send, now)
    if is_slow and _was_cold(send):
        return []
    return _record(state, rollout, send, now, is_bad=is_slow)


def record_failed_send(
    state: DispatchState, send: Send, kind: SendFailureKind, now: float
) -> list[Effect]:
    """Record a send without a usable reply as evidence.

    It must be called before the failure counts for the health of the target. A send
    that was cancelled after a long time, as a hedge was faster, was slow.
    """
    rollout = _rollout_of(state, send)
    if rollout is None or _is_excused(state, send, now):
        return []
    if kind in _BROKEN:
        return _record(state, rollout, send, now, is_bad=True)
    if kind in _UNANSWERED and _is_slow(state, send, now):
        return _record(state, rollout, send, now, is_bad=True)
    return []


def _rollout_of(state: DispatchState, send: Send) -> Rollout | None:
    rollout = state.rollouts.by_service.get(send.target.service)
    return None if rollout is None or rollout.phase.is_final else rollout


def _is_excused(state: DispatchState, send: Send, now: float) -> bool:
    target = send.target
    if state.has_lost_targets or _was_cold(send):
        return True
    if state.reachability_of(target.failure_domain).is_unreachable(now):
        return True
    return state.health_of(target).consecutive_failures > 0


def _was_cold(send: Send) -> bool:
    return send.sent_at < send.target.cold_until


def _is_slow(state: DispatchState, send: Send, now: float) -> bool:
    median = state.latency_of(send.open_request.route).median
    return now - send.sent_at >= median * _SLOW_MEDIANS


def _is_found_bad(state: DispatchState, rollout: Rollout) -> bool:
    """Return whether this VM alone has found a version bad.

    A VM sends most requests to the targets of its own failure domain. It cannot tell
    trouble of the only one that it knows from a bad version; the decider can.
    """
    if rollout.seen.verdict is not Verdict.BAD:
        return False
    targets = state.registry.of_service(rollout.order.service)
    announced = sum(map(rollout.is_new, targets))
    return rollout.seen.targets > 1 or announced == 1


def _record(
    state: DispatchState,
    rollout: Rollout,
    send: Send,
    now: float,
    *,
    is_bad: bool,
) -> list[Effect]:
    good, bad = (0, 1) if is_bad else (1, 0)
    if not rollout.is_new(send.target):
        rollout.old_good += good
        rollout.old_bad += bad
        rollout.seen.add_old(good, bad, now)
        return []
    target_id = send.target.target_id
    route = send.open_request.route.name
    counts = rollout.counts_by_row.setdefault((target_id, route), [0, 0])
    counts[0] += good
    counts[1] += bad
    rollout.seen.add_new(target_id, route, good, bad)
    if now < rollout.held_until or not _is_found_bad(state, rollout):
        return []
    rollout.held_until = now + _HOLD_SECONDS
    inputs = {
        'service': rollout.order.service,
        'version': rollout.order.version,
        'good': rollout.seen.good,
        'bad': rollout.seen.bad,
    }
    return [Decision('rollout_held', '', inputs)]
