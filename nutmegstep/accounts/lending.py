"""Shares of all limits that the VMs lend to the owners of the slices.

Each VM holds an equal share of every limit. It lends that of a slice to one owner
at a time, for a limited time, and to no other one before that time is over. So
owners that do not know of each other have parts of the limit, and never more than
all of it.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
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


@dataclass(frozen=True, slots=True)
class _Loan:
    share: float
    until: float


_NO_LOAN: Final = _Loan(share=0, until=-math.inf)


class BorrowedShares:
    """Shares that the VMs have lent to this one for one slice.

    Their sum is kept as loans begin and end, so that a question does not cost more
    in a larger fleet.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._loan_by_vm: dict[str, _Loan] = {}
        self._ends: list[tuple[float, str]] = []
        self._lent = float(0)
        self._settled_at = now
        self._share_seconds = float(0)

    def borrow(self, vm: str, share: float, until: float, now: float) -> None:
        """Record the share of a VM, lent until some time of this VM's clock.

        The time counts from the poll that the VM has answered, since the answer
        may be old when it is read.
        """
        self.settle(now)
        until -= _EARLY_SECONDS
        known = self._loan_by_vm.get(vm, _NO_LOAN)
        if until > now and until > known.until:
            self._loan_by_vm[vm] = _Loan(share, until)
            self._lent += share - known.share
            heappush(self._ends, (until, vm))

    def settle(self, now: float) -> float:
        """Return the sum over time of the shares so far, in share x seconds."""
        while self._ends and self._ends[0][0] <= now:
            until, vm = heappop(self._ends)
            loan = self._loan_by_vm.get(vm, _NO_LOAN)
            if loan.until == until:
                self._advance(until)
                self._loan_by_vm.pop(vm)
                self._lent -= loan.share
        if not self._loan_by_vm:
            self._lent = 0
        self._advance(now)
        return self._share_seconds

    def total(self) -> float:
        """Return the sum of the shares when they were settled last.

        Never above 1: a VM that counted fewer VMs than there are lends more.
        """
        return min(1, self._lent)

    def _advance(self, now: float) -> None:
        self._share_seconds += self.total() * max(0, now - self._settled_at)
        self._settled_at = max(now, self._settled_at)
