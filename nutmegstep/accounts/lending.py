"""Shares of all limits that the VMs lend to the owners of the slices.

Each VM holds an equal share of every limit. It lends that of a slice to one owner
at a time, for a limited time, and to no other one before that time is over. So
owners that do not know of each other have parts of the limit, and never more than
all of it.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import xxhash

__all__ = [
    'BorrowedShares',
    'LentShare',
    'candidates',
    'loan_seconds',
    'poll_interval',
]

_VMS_PER_POLL_SECOND: Final = 150
_MIN_POLL_SECONDS: Final = 0.5
"""Shares of an owner that was killed are with its successor after four polls; until
then accounts have only the other slices."""
_LENT_INTERVALS: Final = 3
"""Polls for which a share is lent; two of them may be lost."""
_EARLY_SECONDS: Final = 0.1
"""Time before the end of the loan from which an owner does not use it."""


def loan_seconds(vm_count: int) -> float:
    """Return the time in seconds for which a share is lent at each poll."""
    return poll_interval(vm_count) * _LENT_INTERVALS


def poll_interval(vm_count: int) -> float:
    """Return the time in seconds between two polls of an owner.

    It grows with the number of VMs, so that an owner of a large fleet need not
    exchange more than some hundred messages a second.
    """
    return max(_MIN_POLL_SECONDS, vm_count / _VMS_PER_POLL_SECOND)


def candidates(slice_number: int, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names of VMs in the order in which they own a slice.

    The order of two VMs does not depend on the others (rendezvous hashing).
    """
    return tuple(
        sorted(
            names,
            key=lambda name: xxhash.xxh3_64_intdigest(
                f'{slice_number} {name}'.encode()
            ),
        )
    )


@dataclass(slots=True)
class LentShare:
    """Share of this VM in one slice.

    Attributes
    ----------
    owner : str
        VM that asked for it last and may have it; empty if none did.
    until : float
        Monotonic time in seconds until which it is lent.
    """

    owner: str = ''
    until: float = -math.inf
    _followed_until: float = -math.inf

    def lend(self, owner: str, seconds: float, now: float) -> bool:
        """Lend the share to an owner, unless another one has it."""
        if owner != self.owner and now < self.until:
            return False
        self.owner = owner
        self.until = max(self.until, now + seconds)
        self._followed_until = self.until
        return True

    def follow(self, owner: str, seconds: float, now: float) -> None:
        """Remember an owner without lending it the share."""
        if owner == self.owner or now >= self._followed_until:
            self.owner = owner
            self._followed_until = now + seconds

    def owner_at(self, now: float) -> str:
        """Return the owner that is to be asked; empty if none polls."""
        return self.owner if now < self._followed_until else ''


@dataclass(slots=True)
class _Loan:
    share: float
    until: float


class BorrowedShares:
    """Shares that the VMs have lent to this one for one slice.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._loan_by_vm: dict[str, _Loan] = {}
        self._settled_at = now
        self._share_seconds = float(0)

    def borrow(self, vm: str, share: float, until: float, now: float) -> None:
        """Record the share of a VM, lent until some time of this VM's clock.

        The time counts from the poll that the VM has answered, since the answer
        may be old when it is read.
        """
        self.settle(now)
        until -= _EARLY_SECONDS
        known = self._loan_by_vm.get(vm)
        if until > now and (known is None or until > known.until):
            self._loan_by_vm[vm] = _Loan(share, until)

    def settle(self, now: float) -> float:
        """Return the sum over time of the shares so far, in share x seconds."""
        start = self._settled_at
        lent = math.fsum(
            one.share * max(0, min(now, one.until) - start)
            for one in self._loan_by_vm.values()
        )
        # Never above 1 share: a VM that counted fewer VMs than there are lends
        # more.
        self._share_seconds += min(lent, now - start)
        self._settled_at = now
        ended = [
            vm for vm, loan in self._loan_by_vm.items() if loan.until <= now
        ]
        for vm in ended:
            self._loan_by_vm.pop(vm)
        return self._share_seconds

    def total(self) -> float:
        """Return the sum of the shares when they were settled last."""
        return min(1, math.fsum(one.share for one in self._loan_by_vm.values()))
