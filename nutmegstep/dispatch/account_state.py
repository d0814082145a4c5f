"""What a VM knows about the limits of accounts."""

import math
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.accounts import LimitTolerance
from nutmegstep.accounts.bounds import SLICES
from nutmegstep.accounts.buckets import OwnedSlice
from nutmegstep.accounts.lending import LentShare, candidates, loan_seconds
from nutmegstep.accounts.stock import TokenStock
from nutmegstep.dispatch.requests import OpenRequest

__all__ = ['AccountLimits', 'Candidacy']

_READ_SECONDS: Final = 50.0
"""Longest time between two reads of the registry. A VM that has been added is
counted by all others after it and after the loans of larger shares are over."""
_MIN_JOIN_SECONDS: Final = 60.0
_FIRST_START_SECONDS: Final = 3.0
"""The same when all VMs start together and two reads have found the same ones. All
entries are written before the first read."""
_FIRST_START_READS: Final = 2
_MARGIN_SECONDS: Final = 0.2
_MAX_COUNT_AGE_SECONDS: Final = 600.0
"""Age of the number of VMs from which this VM may no longer be counted by the
others: its entry in the registry expires after 16 minutes."""


@dataclass(slots=True)
class Candidacy:
    """Place of this VM among those that may own a slice.

    Attributes
    ----------
    earlier : frozenset of str
        VMs that go before it.
    earlier_heard_at : float
        Monotonic time in seconds at which one of them last polled.
    polled_at : float
        Monotonic time in seconds at which this VM last polled.
    """

    earlier: frozenset[str] = frozenset()
    earlier_heard_at: float = math.inf
    polled_at: float = -math.inf

    @property
    def rank(self) -> int:
        """Number of VMs that go before this one."""
        return len(self.earlier)


@dataclass(slots=True)
class AccountLimits:
    """State of the limits of accounts at one VM.

    Attributes
    ----------
    is_first_start : bool
        Whether all VMs start together for the first time.
    tolerance : LimitTolerance
        Tolerance of the bounds on the accounts' requests.
    lent : list of LentShare
        Own shares, by slice.
    candidacies : list of Candidacy
        Place of this VM in the order of owners, by slice.
    owned_by_slice : dict of int to OwnedSlice
        Slices that this VM owns.
    stock_by_account : dict of str to TokenStock
        Tokens and questions, by the name of the account.
    """

    is_first_start: bool = False
    tolerance: LimitTolerance = field(default_factory=LimitTolerance)
    lent: list[LentShare] = field(
        default_factory=lambda: [LentShare() for _ in range(SLICES)]
    )
    candidacies: list[Candidacy] = field(
        default_factory=lambda: [Candidacy() for _ in range(SLICES)]
    )
    owned_by_slice: dict[int, OwnedSlice] = field(default_factory=dict)
    stock_by_account: dict[str, TokenStock] = field(default_factory=dict)
    _first_counted_at: float = math.inf
    _counted_at: float = -math.inf
    _join_seconds: float = _MIN_JOIN_SECONDS
    _equal_reads: int = 0
    _has_share: bool = False
    _is_counted: bool = False
    _names: frozenset[str] = frozenset()

    def record_count(
        self,
        own_name: str,
        names: frozenset[str],
        now: float,
        *,
        is_counted: bool,
    ) -> None:
        """Record the names of all VMs, as they were read from the registry.

        A VM that the others counted before it was started waits only until the
        loans of its process before are over.
        """
        if not names:
            return
        is_stale = now > self._counted_at + _MAX_COUNT_AGE_SECONDS
        self._is_counted = is_counted and not (is_stale and self._names)
        if is_stale:
            # The first read, or the first after a long outage of the store, in
            # which the VMs may have forgotten each other.
            self._first_counted_at = now
            self._has_share = False
            self._join_seconds = _join_seconds(len(names), self._is_counted)
        self._equal_reads += 1
        self._counted_at = now
        if names == self._names:
            return
        self._equal_reads = 1
        self._names = names
        for number, candidacy in enumerate(self.candidacies):
            order = candidates(number, names | {own_name})
            candidacy.earlier = frozenset(order[: order.index(own_name)])

    def may_own(self, now: float) -> bool:
        """Return whether this VM may ask the others for their shares.

        One that the others counted before it was started may at once: it begins
        with empty buckets, and they lend to its name what they lent before.
        """
        return self._is_counted or self.has_counted_share(now)

    def has_counted_share(self, now: float) -> bool:
        """Return whether all VMs leave this one a share of the limits."""
        if now > self._counted_at + _MAX_COUNT_AGE_SECONDS:
            return False
        # A share that has counted is kept: one that is counted anew with more VMs
        # is only smaller.
        self._has_share = self._has_share or self._is_joined(now)
        return self._has_share

    def stock_of(self, account: str) -> TokenStock:
        """Return the tokens of an account at this VM."""
        return self.stock_by_account.setdefault(account, TokenStock())

    def return_token(self, open_request: OpenRequest) -> None:
        """Give the token of a request back that has not run."""
        account = open_request.account
        expires_at = open_request.token_expires_at
        if account is not None and expires_at is not None:
            self.stock_of(account.name).give_back(expires_at)
            open_request.token_expires_at = None

    def retain(self, accounts: frozenset[str]) -> None:
        """Forget accounts that are gone and have no waiting request."""
        gone = [
            name
            for name, stock in self.stock_by_account.items()
            if name not in accounts and not stock.waiting
        ]
        for name in gone:
            self.stock_by_account.pop(name)

    def _is_joined(self, now: float) -> bool:
        passed = now - self._first_counted_at
        if self.is_first_start and passed < self._join_seconds:
            is_stable = self._equal_reads >= _FIRST_START_READS
            return is_stable and passed >= _FIRST_START_SECONDS
        return passed >= self._join_seconds


def _join_seconds(vm_count: int, is_counted: bool) -> float:
    """Return the time after the first read in which this VM lends nothing."""
    loans = loan_seconds(vm_count) + _MARGIN_SECONDS
    return (
        loans if is_counted else max(_MIN_JOIN_SECONDS, _READ_SECONDS + loans)
    )
