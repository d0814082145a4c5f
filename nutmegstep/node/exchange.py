"""Content of the exchanges between entry VMs, and what is recorded from them.

In an exchange a VM sends a heartbeat and gets a reply. Both carry the versions
of the control state, and a VM fetches the control state of another one whose
versions show that it may be newer.
"""

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
from nutmegstep.node.reported import record_configuration
from nutmegstep.node.state import (
    NodeState,
    ReportedConfiguration,
    control_versions,
    merge_control_state,
    update_leases,
)
from nutmegstep.node.warm_reports import record_warm_reports, reports_since
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

# A warm report is repeated for this time, in about ten heartbeats, because
# single heartbeats may be lost. A peer that is new or was down gets all reports
# in the reply to its next heartbeat.
_REPORT_SECONDS: Final = 5
_MILLISECONDS: Final = 1000


def build_heartbeat(
    state: NodeState,
    now: float,
    released_targets: Iterable[str] = (),
) -> Heartbeat:
    """Return the next heartbeat, with the lease requests of this VM.

    Parameters
    ----------
    state : NodeState
        Changed in place: counts the heartbeat and records the grants that
        this VM gives to itself.
    now : float
        Monotonic time in seconds.
    released_targets : iterable of str
        Targets whose leases this VM releases.
    """
    state.sequence += 1
    requested = grant_to_self(
        state.leases,
        lease_requests(state, now),
        state.sequence,
        now,
    )
    return Heartbeat(
        state.own,
        state.sequence,
        control_versions(state, now),
        tuple(sorted(requested)),
        tuple(sorted(released_targets)),
        reports_since(state, now - _REPORT_SECONDS, now),
    )


def answer_heartbeat(
    state: NodeState,
    heartbeat: Heartbeat,
    now: float,
) -> HeartbeatReply:
    """Record the heartbeat of a peer and return the reply.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    heartbeat : Heartbeat
        Heartbeat of the peer.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    HeartbeatReply
        Reply with the granted targets and with warm reports. For a heartbeat
        of an earlier process of the peer's VM it has only
        ``stale_incarnation``, and nothing is recorded.
    """
    needs_all_reports = _needs_all_reports(state, heartbeat.sender, now)
    versions = control_versions(state, now)
    if not _record_peer(state, heartbeat.sender, now):
        return HeartbeatReply(state.own, versions, stale_incarnation=True)
    vm = heartbeat.sender.vm
    _record_configuration(state, vm.name, heartbeat.versions)
    requester = Identity(vm.name, heartbeat.sender.incarnation)
    record_release(
        state.leases,
        requester,
        heartbeat.released_targets,
        heartbeat.sequence,
    )
    granted = grant_targets(
        state.leases,
        requester,
        heartbeat.asked_targets,
        heartbeat.sequence,
        now,
    )
    record_warm_reports(state, heartbeat.warm_reports, now)
    _update_list_age(state, heartbeat.versions, now)
    oldest = float('-inf') if needs_all_reports else now - _REPORT_SECONDS
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
    """Record the reply to a heartbeat.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    reply : HeartbeatReply
        Reply of the peer. It is ignored if the peer or this process has been
        replaced by a later process of the same VM.
    sent : float
        Monotonic time in seconds at which the heartbeat was sent. The grants
        count from then.
    now : float
        Monotonic time in seconds.
    """
    if reply.stale_incarnation or not _record_peer(state, reply.receiver, now):
        return
    granter = reply.receiver.vm.name
    _record_configuration(state, granter, reply.versions)
    record_grants(state.leases, granter, reply.granted_targets, sent)
    record_warm_reports(state, reply.warm_reports, now)
    _update_list_age(state, reply.versions, now)
    update_leases(state, now)


def should_fetch(
    state: NodeState,
    theirs: ControlVersions,
    now: float,
) -> bool:
    """Return whether a peer may have a newer control state or VM list.

    Parameters
    ----------
    state : NodeState
        Not changed.
    theirs : ControlVersions
        Versions of the peer.
    now : float
        Monotonic time in seconds.
    """
    ours = control_versions(state, now)
    if theirs.generation > ours.generation:
        return True
    if theirs.registers_digest != ours.registers_digest:
        return True
    if theirs.catalogues_digest != ours.catalogues_digest:
        return True
    return theirs.list_digest != ours.list_digest and _is_list_newer(
        theirs, ours
    )


def answer_fetch(
    state: NodeState,
    known: KnownVersions,
    now: float,
) -> FetchedControl:
    """Return the reply to a peer that fetches the control state.

    Parameters
    ----------
    state : NodeState
        Not changed.
    known : KnownVersions
        Versions that the peer has.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    FetchedControl
        All withdrawals and drains, the VM list, and the configuration and
        the catalogues that are newer than those of the peer.
    """
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
    fetched: FetchedControl,
    now: float,
) -> bool:
    """Merge what was fetched from a peer.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    fetched : FetchedControl
        Control state and VM list of the peer.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the control state changed.

    Raises
    ------
    ValueError
        A fetched document does not match its model.
    """
    if fetched.list_age_ms is not None:
        listed_at = now - fetched.list_age_ms / _MILLISECONDS
        record_list(state.membership, fetched.vms, listed_at)
    return merge_control_state(state, fetched.state)


def _record_peer(state: NodeState, process: Process, now: float) -> bool:
    return record_heartbeat(
        state.membership,
        process.vm,
        process.incarnation,
        now,
    )


def _record_configuration(
    state: NodeState,
    name: str,
    versions: ControlVersions,
) -> None:
    reported = ReportedConfiguration(
        versions.generation,
        versions.configuration_digest,
    )
    record_configuration(state, name, reported)


def _needs_all_reports(state: NodeState, process: Process, now: float) -> bool:
    """Return whether a peer is a new process or was down until now."""
    member = state.membership.members_by_name.get(process.vm.name)
    if member is None or member.incarnation != process.incarnation:
        return True
    return member_health(member, now) is Health.DOWN


def _update_list_age(
    state: NodeState, theirs: ControlVersions, now: float
) -> None:
    """Update the age of the own VM list if a peer read an equal list later."""
    ours = control_versions(state, now)
    same = theirs.list_digest == ours.list_digest
    if same and theirs.list_age_ms is not None and _is_list_newer(theirs, ours):
        listed_at = now - theirs.list_age_ms / _MILLISECONDS
        vms = state.membership.listed_vms
        record_list(state.membership, vms, listed_at)


def _is_list_newer(theirs: ControlVersions, ours: ControlVersions) -> bool:
    if theirs.list_age_ms is None:
        return False
    return ours.list_age_ms is None or theirs.list_age_ms < ours.list_age_ms
