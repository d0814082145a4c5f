"""What a process says in an exchange and learns from one."""

from collections.abc import Iterable
from typing import Final

from nutmegstep.allowance import (
    answer_ask,
    record_ask,
    record_grant,
    record_release,
)
from nutmegstep.control import Catalogue, ControlState
from nutmegstep.engine.events import TargetWarm
from nutmegstep.membership import (
    Health,
    Identity,
    member_health,
    record_heartbeat,
    record_list,
)
from nutmegstep.node.contacts import own_asks
from nutmegstep.node.heard import hear_configuration
from nutmegstep.node.state import (
    HeardConfiguration,
    NodeState,
    adopt,
    control_versions,
    update_allowance,
)
from nutmegstep.peers import (
    ControlDocument,
    ControlVersions,
    Heartbeat,
    HeartbeatReply,
    KnownVersions,
    Process,
    WarmReport,
)
from nutmegstep.warmup import EARLY_REPORT_SECONDS

__all__ = [
    'answer_fetch',
    'answer_heartbeat',
    'build_heartbeat',
    'forget_warm',
    'learn_document',
    'learn_reply',
    'learn_warm',
    'record_warm',
    'should_fetch',
]

# A report is repeated in ten heartbeats; a peer that was silent for longer
# gets all reports in the reply to its next heartbeat.
_REPORT_SECONDS: Final = 5
_MILLISECONDS: Final = 1000
_AGE_MAX: Final = 2**32 - 1  # milliseconds, bound of the message field
# An answer of the former process may be handled so much later than the loss
# of its connections is seen elsewhere.
_REPORT_MARGIN_SECONDS: Final = 0.25


def build_heartbeat(
    state: NodeState,
    now: float,
    released_targets: Iterable[str] = (),
) -> Heartbeat:
    """Return the next heartbeat, asks included."""
    state.sequence += 1
    asked = record_ask(
        state.allowance,
        own_asks(state, now),
        state.sequence,
        now,
    )
    return Heartbeat(
        state.own,
        state.sequence,
        control_versions(state, now),
        tuple(sorted(asked)),
        tuple(sorted(released_targets)),
        _reports(state, now - _REPORT_SECONDS, now),
    )


def answer_heartbeat(
    state: NodeState,
    heartbeat: Heartbeat,
    now: float,
) -> HeartbeatReply:
    """Take a peer's heartbeat and return the reply."""
    is_new = _is_new(state, heartbeat.sender, now)
    versions = control_versions(state, now)
    if not _hear(state, heartbeat.sender, now):
        return HeartbeatReply(state.own, versions, stale_incarnation=True)
    vm = heartbeat.sender.vm
    _hear_versions(state, vm.name, heartbeat.versions)
    asker = Identity(vm.name, heartbeat.sender.incarnation)
    record_release(
        state.allowance,
        asker,
        heartbeat.released_targets,
        heartbeat.sequence,
    )
    granted = answer_ask(
        state.allowance,
        asker,
        heartbeat.asked_targets,
        heartbeat.sequence,
        now,
    )
    learn_warm(state, heartbeat.warm_reports, now)
    _learn_age(state, heartbeat.versions, now)
    oldest = float('-inf') if is_new else now - _REPORT_SECONDS
    return HeartbeatReply(
        state.own,
        versions,
        tuple(sorted(granted)),
        _reports(state, oldest, now),
    )


def learn_reply(
    state: NodeState,
    reply: HeartbeatReply,
    sent: float,
    now: float,
) -> None:
    """Take the reply to a heartbeat that was sent at the instant `sent`."""
    if reply.stale_incarnation or not _hear(state, reply.receiver, now):
        return
    giver = reply.receiver.vm.name
    _hear_versions(state, giver, reply.versions)
    record_grant(state.allowance, giver, reply.granted_targets, sent)
    learn_warm(state, reply.warm_reports, now)
    _learn_age(state, reply.versions, now)
    update_allowance(state, now)


def learn_warm(
    state: NodeState,
    reports: tuple[WarmReport, ...],
    now: float,
) -> None:
    """Take warm reports of a peer; each new one becomes an engine event."""
    for report in reports:
        lost_at = state.forgotten_by_target.get(report.target)
        if lost_at is None or _is_later(report, lost_at, now):
            record_warm(state, report, now)


def _is_later(report: WarmReport, lost_at: float, now: float) -> bool:
    """Return whether a report is about the time after a loss.

    Notes
    -----
    A peer without connections to the target repeats what it learned before
    the restart, so the age of the report decides. The engine ignores
    reports in the first second; the peer repeats them for longer.
    """
    seen_at = now - report.age_ms / _MILLISECONDS
    early = now - lost_at < EARLY_REPORT_SECONDS
    return not early and seen_at >= lost_at + _REPORT_MARGIN_SECONDS


def record_warm(state: NodeState, report: WarmReport, now: float) -> None:
    """Keep a warm report, pass it on and emit an event when it is new."""
    if state.boot_by_target.get(report.target) == report.boot_id:
        return
    state.forgotten_by_target.pop(report.target, None)
    state.boot_by_target[report.target] = report.boot_id
    seen_at = now - report.age_ms / _MILLISECONDS
    state.learned_by_target[report.target] = seen_at
    state.emit(TargetWarm(report.target, report.boot_id))


def forget_warm(state: NodeState, target: str, now: float) -> None:
    """Forget a warm target whose connections were lost.

    Notes
    -----
    Reports of peers count again after a second: earlier ones may have been
    sent before the restart that closed the connections.
    """
    state.boot_by_target.pop(target, None)
    state.learned_by_target.pop(target, None)
    state.forgotten_by_target[target] = now


def should_fetch(
    state: NodeState,
    theirs: ControlVersions,
    now: float,
) -> bool:
    """Return whether a peer may have something newer."""
    ours = control_versions(state, now)
    if theirs.generation > ours.generation:
        return True
    if theirs.registers_digest != ours.registers_digest:
        return True
    if theirs.catalogues_digest != ours.catalogues_digest:
        return True
    return theirs.list_digest != ours.list_digest and _is_younger(theirs, ours)


def answer_fetch(
    state: NodeState,
    known: KnownVersions,
    now: float,
) -> ControlDocument:
    """Return what is newer than the asker's versions."""
    control = state.control
    newer: dict[str, Catalogue] = {
        index: catalogue
        for index, catalogue in control.catalogues_by_index.items()
        if catalogue.version > known.versions_by_index.get(index, 0)
    }
    part = ControlState(
        withdrawals_by_domain=control.withdrawals_by_domain,
        drains_by_target=control.drains_by_target,
        catalogues_by_index=newer,
    )
    if control.configuration.generation > known.generation:
        part = ControlState(
            control.configuration,
            part.withdrawals_by_domain,
            part.drains_by_target,
            newer,
        )
    age = control_versions(state, now).list_age_ms
    return ControlDocument(part, state.membership.listed_vms, age)


def learn_document(
    state: NodeState,
    document: ControlDocument,
    now: float,
) -> bool:
    """Take a fetched document; return whether the control state changed."""
    if document.list_age_ms is not None:
        listed_at = now - document.list_age_ms / _MILLISECONDS
        record_list(state.membership, document.vms, listed_at)
    return adopt(state, document.state)


def _hear(state: NodeState, process: Process, now: float) -> bool:
    return record_heartbeat(
        state.membership,
        process.vm,
        process.incarnation,
        now,
    )


def _hear_versions(
    state: NodeState,
    name: str,
    versions: ControlVersions,
) -> None:
    heard = HeardConfiguration(
        versions.generation,
        versions.configuration_digest,
    )
    hear_configuration(state, name, heard)


def _is_new(state: NodeState, process: Process, now: float) -> bool:
    member = state.membership.members_by_name.get(process.vm.name)
    if member is None or member.incarnation != process.incarnation:
        return True
    return member_health(member, now) is Health.DOWN


def _learn_age(state: NodeState, theirs: ControlVersions, now: float) -> None:
    ours = control_versions(state, now)
    same = theirs.list_digest == ours.list_digest
    if same and theirs.list_age_ms is not None and _is_younger(theirs, ours):
        listed_at = now - theirs.list_age_ms / _MILLISECONDS
        vms = state.membership.listed_vms
        record_list(state.membership, vms, listed_at)


def _is_younger(theirs: ControlVersions, ours: ControlVersions) -> bool:
    if theirs.list_age_ms is None:
        return False
    return ours.list_age_ms is None or theirs.list_age_ms < ours.list_age_ms


def _reports(
    state: NodeState,
    oldest: float,
    now: float,
) -> tuple[WarmReport, ...]:
    return tuple(
        WarmReport(
            target,
            boot_id,
            _age_ms(now - state.learned_by_target[target]),
        )
        for target, boot_id in sorted(state.boot_by_target.items())
        if state.learned_by_target[target] >= oldest
    )


def _age_ms(seconds: float) -> int:
    return min(_AGE_MAX, max(0, round(seconds * _MILLISECONDS)))
