"""What a process says in an exchange and learns from one."""

from collections.abc import Iterable
from typing import Final

from nutmegstep.control import Catalogue, ControlState
from nutmegstep.leases import (
    grant_targets,
    grant_to_self,
    record_grants,
    record_release,
)
from nutmegstep.membership import (
    Health,
    Identity,
    member_health,
    record_heartbeat,
    record_list,
)
from nutmegstep.node.contacts import lease_requests
from nutmegstep.node.heard import hear_configuration
from nutmegstep.node.state import (
    HeardConfiguration,
    NodeState,
    adopt,
    control_versions,
    update_leases,
)
from nutmegstep.node.warm_reports import learn_warm, reports_since
from nutmegstep.peers import (
    ControlVersions,
    FetchedControl,
    Heartbeat,
    HeartbeatReply,
    KnownVersions,
    Process,
)

__all__ = [
    'answer_fetch',
    'answer_heartbeat',
    'build_heartbeat',
    'merge_fetched',
    'record_reply',
    'should_fetch',
]

# A report is repeated in ten heartbeats; a peer that was silent for longer
# gets all reports in the reply to its next heartbeat.
_REPORT_SECONDS: Final = 5
_MILLISECONDS: Final = 1000


def build_heartbeat(
    state: NodeState,
    now: float,
    released_targets: Iterable[str] = (),
) -> Heartbeat:
    """Return the next heartbeat, asks included."""
    state.sequence += 1
    asked = grant_to_self(
        state.leases,
        lease_requests(state, now),
        state.sequence,
        now,
    )
    return Heartbeat(
        state.own,
        state.sequence,
        control_versions(state, now),
        tuple(sorted(asked)),
        tuple(sorted(released_targets)),
        reports_since(state, now - _REPORT_SECONDS, now),
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
        state.leases,
        asker,
        heartbeat.released_targets,
        heartbeat.sequence,
    )
    granted = grant_targets(
        state.leases,
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
        reports_since(state, oldest, now),
    )


def record_reply(
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
    record_grants(state.leases, giver, reply.granted_targets, sent)
    learn_warm(state, reply.warm_reports, now)
    _learn_age(state, reply.versions, now)
    update_leases(state, now)


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
) -> FetchedControl:
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
    return FetchedControl(part, state.membership.listed_vms, age)


def merge_fetched(
    state: NodeState,
    document: FetchedControl,
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
