"""Tokens of all accounts at the owner of a slice."""

import math
from dataclasses import dataclass
from typing import Final

from nutmegstep.accounts.bounds import AccountBound
from nutmegstep.accounts.lending import BorrowedShares

__all__ = ['Grant', 'OwnedSlice']

_MAX_WAIT_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens that an owner hands out.

    Parameters
    ----------
    tokens : int
        Number of tokens.
    wait : float
        Time in seconds until the owner has another one.
    """

    tokens: int
    wait: float


@dataclass(slots=True)
class _Bucket:
    tokens: float
    minted: float


class OwnedSlice:
    """Slice of the limits of all accounts, as its owner keeps it.

    A bucket fills at the slice's rate times the sum of the borrowed shares and
    holds as much of the slice's depth. It is empty when the first share is
    borrowed, as another VM may have used what it had stored.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self.shares = BorrowedShares(now)
        self._owned_since = float(0)
        self._bucket_by_account: dict[str, _Bucket] = {}

    def grant(
        self, bound: AccountBound, wanted: int, now: float
    ) -> Grant | None:
        """Hand out at most `wanted` tokens of an account.

        None if the borrowed shares can never make up a token: another VM may own
        more of the slice.
        """
        bucket = self._refill(bound, now)
        if bound.slice_depth * self.shares.total() < 1:
            return None
        tokens = max(0, min(wanted, math.floor(bucket.tokens)))
        bucket.tokens -= tokens
        rate = bound.slice_rate * self.shares.total()
        lacking = max(0, 1 - bucket.tokens)
        wait = min(_MAX_WAIT_SECONDS, lacking / rate) if rate else math.inf
        return Grant(tokens, wait)

    def is_lent(self, now: float) -> bool:
        """Return whether any share is borrowed; forget the buckets if not."""
        minted = self.shares.settle(now)
        if self.shares.total():
            return True
        self._bucket_by_account.clear()
        self._owned_since = minted
        return False

    def _refill(self, bound: AccountBound, now: float) -> _Bucket:
        minted = self.shares.settle(now)
        share = self.shares.total()
        name = bound.account.name
        bucket = self._bucket_by_account.get(name)
        if bucket is None:
            bucket = _Bucket(tokens=0, minted=self._owned_since)
            self._bucket_by_account[name] = bucket
        added = bound.slice_rate * (minted - bucket.minted)
        bucket.minted = minted
        bucket.tokens = min(bound.slice_depth * share, bucket.tokens + added)
        return bucket
