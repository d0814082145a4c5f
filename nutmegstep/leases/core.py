"""Promises between the VMs of a failure domain, without input or output."""

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
# Longest request to a cold target; the holder may still wait for one that it
# sent in the last instant of its grant.
_REQUEST_MARGIN_SECONDS: Final = 2
# A new process does not know what it promised before its restart. Every such
# grant and the request behind it have ended after this time.
_STARTUP_WAIT_SECONDS: Final = 5
_NEVER: Final = float('-inf')


@dataclass(frozen=True, slots=True)
class Grant:
    """A grant that this VM gave, possibly to itself.

    Parameters
    ----------
    holder : Identity
        The only process that may send.
    until : float
        Instant before which nobody else gets a grant, margin included.
    sequence : int
        Message of the holder that asked; an older release does not end it.
    """

    holder: Identity
    until: float
    sequence: int


@dataclass(slots=True)
class LeaseState:
    """Promises given and held by one process; changed in place.

    Parameters
    ----------
    identity : Identity
        The own process.
    started : float
        Instant of the start.
    grants_by_target : dict
        Grant in force for each target.
    received_until_by_target : dict
        Until when each other VM has promised each target.
    released_at : float
        Grants of asks sent up to this instant are void.
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
    """Grant targets to the own process; return those to ask others for.

    Notes
    -----
    The own VM counts as a granter, so it asks only for targets that it has
    not promised to another one.
    """
    return grant_targets(state, state.identity, targets, sequence, now)


def grant_targets(
    state: LeaseState,
    requester: Identity,
    targets: Iterable[str],
    sequence: int,
    now: float,
) -> frozenset[str]:
    """Grant targets to a process; return those that were granted."""
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
    """Take the grants in a reply to an ask.

    Parameters
    ----------
    state : LeaseState
        Changed in place.
    granter : str
        Name of the VM that replied.
    targets : iterable of str
        Granted targets.
    sent : float
        Own instant at which the ask was sent. The granter counts from a later
        instant, so its grant outlasts the time counted here.
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
    """End promises that their holder returns without a request in flight."""
    for target in targets:
        grant = state.grants_by_target.get(target)
        if grant is None or grant.holder != holder:
            continue
        if grant.sequence < sequence:
            del state.grants_by_target[target]


def release_all(state: LeaseState, now: float) -> frozenset[str]:
    """Give up every held grant; return the targets to release.

    The caller ensures that no request to a cold target is in flight.
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
    """Return until when the own process may send to each cold target.

    Parameters
    ----------
    state : LeaseState
        Read only.
    roster : set of str
        Names of the VMs of the failure domain that may act.
    required_vms : int
        Declared `entry_vms_per_domain`; a smaller roster gives no right.
    now : float
        Monotonic instant in seconds.

    Examples
    --------
    >>> state = LeaseState(Identity('vm-1', 7), started=0)
    >>> asked = grant_to_self(state, ['t-1'], sequence=1, now=5)
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
    """Remove promises that have ended, so that the state stays bounded."""
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
