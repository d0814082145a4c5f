"""Probes of restricted content.

Content that was in flight on many targets as they crashed is sent now and then, by
one VM at a time, until a target runs it or crashes because of it.
"""

from itertools import chain
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.control_events import CrashRecord
from nutmegstep.dispatch.effects import CheckTarget, Decision, Effect
from nutmegstep.dispatch.losses import name_incarnation
from nutmegstep.dispatch.probe_watch import ProbeWatch
from nutmegstep.dispatch.requests import OpenRequest
from nutmegstep.dispatch.state import DispatchState

__all__ = [
    'begin_probe',
    'decide_probes',
    'end_probe',
    'may_probe',
    'watch_bystanders',
]

_WATCH_SECONDS: Final = 1.0
"""Time after the crash of a probe in which an outage has ended other targets too."""
_MAX_BYSTANDERS: Final = 4
"""Most other targets of the service, and of the failure domain, that are watched."""


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


def watch_bystanders(
    state: DispatchState, open_request: OpenRequest, target: TargetRecord
) -> list[Effect]:
    """Open connections to other targets when a probe is sent to its first one.

    Has no effect on requests that are no probes.
    """
    if open_request.probe_generation is None:
        return []
    crashes = state.crashes.find(open_request.content)
    if crashes.watch and crashes.watch.open_request is open_request:
        return []
    crashes.watch = ProbeWatch(open_request, target)
    return _check_bystanders(state, crashes.watch)


def end_probe(
    state: DispatchState, crash: CrashRecord, now: float
) -> list[Effect]:
    """End a probe whose target has crashed; check whether others have ended too."""
    crashes = state.crashes.find(crash.content)
    watch = crashes.watch
    if watch is None:
        crashes.refuse(crash)
        return []
    watch.crash = crash
    watch.decide_at = now + _WATCH_SECONDS
    return _check_bystanders(state, watch)


def decide_probes(state: DispatchState, now: float) -> list[Effect]:
    """Refuse content that has crashed the target of its probe.

    While no other cause is known, the bystanders are checked again.
    """
    crashed = [one for one in state.crashes.watches() if one.crash]
    due = [one for one in crashed if now >= one.decide_at]
    return [
        *(_decide(state, one) for one in due),
        *chain.from_iterable(
            _check_bystanders(state, one) for one in crashed if one not in due
        ),
    ]


def _decide(state: DispatchState, watch: ProbeWatch) -> Effect:
    crashes = state.crashes.find(watch.open_request.content)
    crashes.watch = None
    if watch.crash in crashes.by_record and not watch.is_in_outage:
        crashes.refuse(watch.crash)
    inputs = {
        'content': watch.open_request.content,
        'is_in_outage': watch.is_in_outage,
        'listening': len(watch.listening - watch.lost),
        'lost': len(watch.lost),
        'refusing': len(watch.refusing),
    }
    attempt_id = watch.open_request.request.attempt_id
    return Decision('probe_crash_decided', attempt_id, inputs)


def _check_bystanders(state: DispatchState, watch: ProbeWatch) -> list[Effect]:
    """Open connections to bystanders, those included that are known by now."""
    target = watch.target
    eligible = _eligible_bystanders(state, watch)
    peers = [one for one in eligible if one.service == target.service]
    others = [
        one
        for one in eligible
        if one.service != target.service
        and one.failure_domain == target.failure_domain
    ]
    for group in (peers, others):
        _add_bystanders(state, watch, group)
    return [
        CheckTarget(bystander)
        for target_id, bystander in watch.bystander_by_id.items()
        if target_id not in watch.lost
    ]


def _add_bystanders(
    state: DispatchState, watch: ProbeWatch, group: list[TargetRecord]
) -> None:
    """Draw bystanders from a group of targets until there are enough of it."""
    known = watch.bystander_by_id
    unknown = [one for one in group if one.target_id not in known]
    free = max(0, _MAX_BYSTANDERS - len(group) + len(unknown))
    drawn = state.random.sample(unknown, min(len(unknown), free))
    known.update((one.target_id, one) for one in drawn)


def _eligible_bystanders(
    state: DispatchState, watch: ProbeWatch
) -> list[TargetRecord]:
    """Return the targets whose end would show an outage.

    Targets that the content may have crashed tell nothing of it, and those that
    leave or are withdrawn may end without one.
    """
    crashes = state.crashes.find(watch.open_request.content)
    crashed = {one.incarnation for one in crashes.by_record}
    return [
        one
        for one in state.registry.by_id.values()
        if one.target_id != watch.target.target_id
        and not one.is_draining
        and one.failure_domain not in state.withdrawn_domains
        and name_incarnation(one.target_id, one.started_ms) not in crashed
    ]
