"""Sets of VMs that are derived from the membership state."""

import enum
from collections.abc import Iterator
from typing import Final

from nutmegstep.membership.core import Member, MembershipState

__all__ = [
    'Health',
    'member_health',
    'prune',
    'roster',
    'suspected_names',
    'view',
]

_SUSPECT_SECONDS: Final = 1
_DOWN_SECONDS: Final = 3
_GONE_SECONDS: Final = 10


@enum.unique
class Health(enum.Enum):
    """State of a VM by the time since its last heartbeat.

    Attributes
    ----------
    ALIVE
        Less than 1 s.
    SUSPECT
        At least 1 s and less than 3 s.
    DOWN
        At least 3 s, or no heartbeat yet.
    """

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DOWN = 'down'


def member_health(member: Member, now: float) -> Health:
    """Return the state of another VM at a monotonic time in seconds.

    Examples
    --------
    >>> from nutmegstep.membership.core import ListedVm
    >>> vm = ListedVm('vm-2', 'domain-1', '127.0.0.2:7000')
    >>> member_health(Member(vm, incarnation=7, last_heartbeat=4), now=5.5)
    <Health.SUSPECT: 'suspect'>
    """
    silence = now - member.last_heartbeat
    if silence >= _DOWN_SECONDS:
        return Health.DOWN
    if silence >= _SUSPECT_SECONDS:
        return Health.SUSPECT
    return Health.ALIVE


def view(state: MembershipState, now: float) -> frozenset[str]:
    """Return the names of the VMs that are not down and of this VM."""
    return frozenset(
        (
            state.identity.name,
            *(
                name
                for name, member in state.members_by_name.items()
                if member_health(member, now) is not Health.DOWN
            ),
        ),
    )


def suspected_names(state: MembershipState, now: float) -> frozenset[str]:
    """Return the names of the VMs in state `Health.SUSPECT`."""
    return frozenset(
        name
        for name, member in state.members_by_name.items()
        if member_health(member, now) is Health.SUSPECT
    )


def roster(
    state: MembershipState,
    failure_domain: str,
    now: float,
) -> frozenset[str]:
    """Return the names of the VMs of a failure domain that may still send.

    Parameters
    ----------
    state : MembershipState
        Not changed.
    failure_domain : str
        Name of the failure domain.
    now : float
        Monotonic time in seconds.

    Notes
    -----
    A VM leaves the roster when the platform's lists have been without it for
    at least 10 s and it has sent no heartbeat for 10 s, or when an operator
    removes it with `forget`. During an outage of the platform there are no new
    lists, so a VM that is still listed when the outage begins stays on the
    roster. After a pause of this process, the 10 s without a heartbeat are
    measured from the end of the pause.
    """
    return frozenset(_roster_names(state, failure_domain, now))


def prune(state: MembershipState, now: float) -> None:
    """Remove VMs that are neither listed nor heard from for 10 s.

    Otherwise the state would grow with each VM that is replaced.
    """
    gone_names = [
        name
        for name, member in state.members_by_name.items()
        if _is_gone(state, member, now)
    ]
    for name in gone_names:
        del state.members_by_name[name]


def _roster_names(
    state: MembershipState,
    failure_domain: str,
    now: float,
) -> Iterator[str]:
    if failure_domain == state.failure_domain:
        yield state.identity.name
    for name, member in state.members_by_name.items():
        if member.vm.failure_domain != failure_domain:
            continue
        if not (member.forgotten or _is_gone(state, member, now)):
            yield name


def _is_gone(state: MembershipState, member: Member, now: float) -> bool:
    if member.absent_since is None:
        return False
    absence = member.absent_until - member.absent_since
    silence = now - max(member.last_heartbeat, state.resumed_at)
    return absence >= _GONE_SECONDS and silence >= _GONE_SECONDS
