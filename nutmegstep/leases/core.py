"""Promises between the VMs of a failure domain, without input or output."""

from collections.abc import Iterable, Set
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.membership import Identity

__all__ = [
    'LeaseState',
    'Grant',
    'grant_targets',
    'drop_expired',
    'grant_to_self',
    'record_grants',
    'record_release',
    'release_all',
    'lease_expiry_by_target',
]

_PROMISE_SECONDS: Final = 3
# Longest request to a cold target; the holder may still wait for one that it
# sent in the last instant of its promise.
_MARGIN_SECONDS: Final = 2
# A new process does not know what it promised before its restart. Every such
# promise and the request behind it have ended after this time.
_START_SECONDS: Final = 5
_NEVER: Final = float('-inf')


@dataclass(frozen=True, slots=True)
class Grant:
    """A promise that this VM gave, possibly to itself.

    Parameters
    ----------
    holder : Identity
        The only process that may send.
    until : float
        Instant before which nobody else gets a promise, margin included.
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
    The own VM counts as a giver, so it asks only for targets that it has
    not promised to another one.
    """
    return grant_targets(state, state.identity, targets, sequence, now)


def grant_targets(
    state: LeaseState,
    asker: Identity,
    targets: Iterable[str],
    sequence: int,
    now: float,
) -> frozenset[str]:
    """Grant targets to a process; return those that were granted."""
    if now < state.started + _START_SECONDS:
        return frozenset()
    granted = frozenset(
        target for target in targets if _is_free(state, asker, target, now)
    )
    until = now + _PROMISE_SECONDS + _MARGIN_SECONDS
    for target in granted:
        state.grants_by_target[target] = Grant(asker, until, sequence)
    return granted


def record_grants(
    state: LeaseState,
    giver: str,
    targets: Iterable[str],
    sent: float,
) -> None:
    """Take the grants in a reply to an ask.

    Parameters
    ----------
    state : LeaseState
        Changed in place.
    giver : str
        Name of the VM that replied.
    targets : iterable of str
        Granted targets.
    sent : float
        Own instant at which the ask was sent. The giver counts from a later
        instant, so its promise outlasts the time counted here.
    """
    if sent <= state.released_at:
        return
    until = sent + _PROMISE_SECONDS
    for target in targets:
        held_by_giver = state.received_until_by_target.setdefault(target, {})
        held_by_giver[giver] = max(until, held_by_giver.get(giver, _NEVER))


def record_release(
    state: LeaseState,
    holder: Identity,
    targets: Iterable[str],
    sequence: int,
) -> None:
    """End promises that their holder returns without a request in flight."""
    for target in targets:
        promise = state.grants_by_target.get(target)
        if promise is None or promise.holder != holder:
            continue
        if promise.sequence < sequence:
            del state.grants_by_target[target]


def release_all(state: LeaseState, now: float) -> frozenset[str]:
    """Give up every held promise; return the targets to release.

    The caller ensures that no request to a cold target is in flight.
    """
    own_targets = frozenset(
        target
        for target, promise in state.grants_by_target.items()
        if promise.holder == state.identity
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
    until_all = {
        target: _until(state, target, others)
        for target, promise in sorted(state.grants_by_target.items())
        if promise.holder == state.identity
    }
    return {target: until for target, until in until_all.items() if until > now}


def drop_expired(state: LeaseState, now: float) -> None:
    """Remove promises that have ended, so that the state stays bounded."""
    state.grants_by_target = {
        target: promise
        for target, promise in state.grants_by_target.items()
        if promise.until > now
    }
    state.received_until_by_target = {
        target: held_by_giver
        for target, held_by_giver in state.received_until_by_target.items()
        if max(held_by_giver.values()) > now
    }


def _is_free(
    state: LeaseState,
    asker: Identity,
    target: str,
    now: float,
) -> bool:
    promise = state.grants_by_target.get(target)
    if promise is None or promise.holder == asker:
        return True
    return now >= promise.until


def _until(state: LeaseState, target: str, others: Set[str]) -> float:
    held_by_giver = state.received_until_by_target.get(target, {})
    own_until = state.grants_by_target[target].until - _MARGIN_SECONDS
    return min(
        (own_until, *(held_by_giver.get(name, _NEVER) for name in others)),
    )
