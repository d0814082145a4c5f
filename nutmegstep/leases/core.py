"""State of the leases that one VM grants and holds.

The functions change the state and do no input or output. A VM requests a
lease in its heartbeats from all VMs on the roster of its failure domain (see
`nutmegstep.membership.roster`), and each of them grants it or not.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.membership import Identity

__all__ = [
    'Grant',
    'LeaseState',
    'drop_expired',
    'grant_targets',
    'grant_to_self',
    'lease_expiry_by_target',
    'record_grants',
    'record_release',
    'release_all',
]

_LEASE_SECONDS: Final = 3
# Longest time-out of a request to a cold target. A request that was sent just
# before the lease expired may still run for this time.
_REQUEST_MARGIN_SECONDS: Final = 2
# A new process does not know what it granted before its restart. After this
# time all those grants, and the requests sent under them, have ended.
_STARTUP_WAIT_SECONDS: Final = 5
_NEVER: Final = float('-inf')


@dataclass(frozen=True, slots=True)
class Grant:
    """A grant of one target that this VM gave, possibly to itself.

    Parameters
    ----------
    holder : Identity
        The process that requested the lease.
    until : float
        Monotonic time in seconds before which this VM grants the target to no
        other process: the end of the lease and the longest request after it.
    sequence : int
        Sequence number of the heartbeat that requested the lease. Only a
        release in a later heartbeat ends the grant.
    """

    holder: Identity
    until: float
    sequence: int


@dataclass(slots=True)
class LeaseState:
    """Grants that one process gave and received; changed in place.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    started : float
        Monotonic time in seconds at which the process started.
    grants_by_target : dict
        Grant that this VM gave for each target.
    received_until_by_target : dict
        For each target, the monotonic time in seconds at which the grant of
        each other VM ends, by the name of that VM.
    released_at : float
        Monotonic time in seconds of the last release. Grants for requests
        that were sent up to then are ignored.
    """

    identity: Identity
    started: float
    grants_by_target: dict[str, Grant] = field(default_factory=dict)
    received_until_by_target: dict[str, dict[str, float]] = field(
        default_factory=dict
    )
    released_at: float = _NEVER


def grant_to_self(
    state: LeaseState,
    targets: Iterable[str],
    sequence: int,
    now: float,
) -> frozenset[str]:
    """Grant targets to this process.

    Parameters
    ----------
    state : LeaseState
        Changed in place.
    targets : iterable of str
        Cold targets that this VM wants to use.
    sequence : int
        Sequence number of the heartbeat that will request the leases.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    frozenset of str
        Targets whose leases to request from the other VMs. A target that this
        VM has granted to another process is left out.
    """
    return grant_targets(state, state.identity, targets, sequence, now)


def grant_targets(
    state: LeaseState,
    requester: Identity,
    targets: Iterable[str],
    sequence: int,
    now: float,
) -> frozenset[str]:
    """Grant targets to a process that requests their leases.

    Parameters
    ----------
    state : LeaseState
        Changed in place.
    requester : Identity
        Process that requests the leases.
    targets : iterable of str
        Requested targets.
    sequence : int
        Sequence number of the heartbeat with the request.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    frozenset of str
        Targets that were granted. None is granted in the first 5 s after the
        start, because earlier grants of this VM may still be in force.
    """
    if now < state.started + _STARTUP_WAIT_SECONDS:
        return frozenset()
    granted = frozenset(
        target for target in targets if _is_free(state, requester, target, now)
    )
    until = now + _LEASE_SECONDS + _REQUEST_MARGIN_SECONDS
    for target in granted:
        state.grants_by_target[target] = Grant(requester, until, sequence)
    return granted


def record_grants(
    state: LeaseState,
    granter: str,
    targets: Iterable[str],
    sent: float,
) -> None:
    """Record the grants in the reply to a lease request.

    Parameters
    ----------
    state : LeaseState
        Changed in place.
    granter : str
        Name of the VM that replied.
    targets : iterable of str
        Granted targets.
    sent : float
        Monotonic time in seconds, on the local clock, at which the request was
        sent. The granter measures the lease from its later receipt, so its
        grant outlasts the lease as measured here.
    """
    if sent <= state.released_at:
        return
    until = sent + _LEASE_SECONDS
    for target in targets:
        until_by_granter = state.received_until_by_target.setdefault(target, {})
        until_by_granter[granter] = max(
            until, until_by_granter.get(granter, _NEVER)
        )


def record_release(
    state: LeaseState,
    holder: Identity,
    targets: Iterable[str],
    sequence: int,
) -> None:
    """End the grants of targets that their holder releases.

    Parameters
    ----------
    state : LeaseState
        Changed in place.
    holder : Identity
        Process that releases the targets; it has no request to them in flight.
    targets : iterable of str
        Released targets.
    sequence : int
        Sequence number of the heartbeat with the release. Grants that this
        heartbeat or a later one requested stay.
    """
    for target in targets:
        grant = state.grants_by_target.get(target)
        if grant is None or grant.holder != holder:
            continue
        if grant.sequence < sequence:
            del state.grants_by_target[target]


def release_all(state: LeaseState, now: float) -> frozenset[str]:
    """Release all leases of this process.

    Parameters
    ----------
    state : LeaseState
        Changed in place.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    frozenset of str
        Targets whose release to announce to the other VMs.

    Notes
    -----
    No request to a cold target may be in flight when this is called.
    """
    own_targets = frozenset(
        target
        for target, grant in state.grants_by_target.items()
        if grant.holder == state.identity
    )
    for target in own_targets:
        del state.grants_by_target[target]
    state.received_until_by_target.clear()
    state.released_at = now
    return own_targets


def lease_expiry_by_target(
    state: LeaseState,
    roster: Set[str],
    required_vms: int,
    now: float,
) -> dict[str, float]:
    """Return when each lease of this process expires.

    Parameters
    ----------
    state : LeaseState
        Read only.
    roster : set of str
        Names of the VMs of the failure domain that may still send.
    required_vms : int
        Declared `entry_vms_per_domain`. While the roster is smaller, this
        process holds no lease, because the missing VMs have granted none.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    dict
        Monotonic time in seconds by target, only for leases in force.

    Examples
    --------
    >>> state = LeaseState(Identity('vm-1', 7), started=0)
    >>> requested = grant_to_self(state, ['t-1'], sequence=1, now=5)
    >>> lease_expiry_by_target(state, {'vm-1'}, required_vms=1, now=5)
    {'t-1': 8}
    """
    if len(roster) < required_vms or state.identity.name not in roster:
        return {}
    others = roster - {state.identity.name}
    expiry_by_target = {
        target: _lease_expiry(state, target, others)
        for target, grant in sorted(state.grants_by_target.items())
        if grant.holder == state.identity
    }
    return {
        target: until
        for target, until in expiry_by_target.items()
        if until > now
    }


def drop_expired(state: LeaseState, now: float) -> None:
    """Remove grants that have ended, so that the state does not grow."""
    state.grants_by_target = {
        target: grant
        for target, grant in state.grants_by_target.items()
        if grant.until > now
    }
    state.received_until_by_target = {
        target: until_by_granter
        for target, until_by_granter in state.received_until_by_target.items()
        if max(until_by_granter.values()) > now
    }


def _is_free(
    state: LeaseState,
    requester: Identity,
    target: str,
    now: float,
) -> bool:
    grant = state.grants_by_target.get(target)
    if grant is None or grant.holder == requester:
        return True
    return now >= grant.until


def _lease_expiry(state: LeaseState, target: str, others: Set[str]) -> float:
    until_by_granter = state.received_until_by_target.get(target, {})
    own_until = state.grants_by_target[target].until - _REQUEST_MARGIN_SECONDS
    return min(
        (own_until, *(until_by_granter.get(name, _NEVER) for name in others)),
    )
